//! Questions of operators, answered from the leader's state.

use kingcuplift_config::{Catalog, Kind, Resource, VersionInfo};
use kingcuplift_core::{ResultCode, Version};
use kingcuplift_schema::control::TargetState;
use kingcuplift_traffic::TargetTable;
use serde_json::{Value, json};

use crate::source::answer::Answer;
use crate::source::tracker::Tracker;

/// Versions listed at a time, unless stated.
pub(crate) const DEFAULT_LIMIT: usize = 100;

/// A question of an operator.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Question {
    /// Versions after one, at most `limit`.
    Versions {
        /// Version before the first listed one.
        after: Version,
        /// Most versions to list.
        limit: usize,
    },
    /// One version with its progress.
    Version(Version),
    /// The document of one version, or of the head.
    Config(Option<Version>),
    /// All moves.
    Moves,
    /// One move.
    Move(String),
    /// Announced targets.
    Targets,
    /// The whole configuration in force, as operators write it.
    Revision,
}

/// State that questions are answered from.
#[derive(Debug)]
pub(crate) struct View<'a> {
    pub(crate) catalog: &'a Catalog,
    pub(crate) tracker: &'a Tracker,
    pub(crate) targets: &'a TargetTable,
}

impl View<'_> {
    /// Answers a question.
    pub(crate) fn answer(&self, question: &Question) -> Answer {
        match question {
            Question::Versions { after, limit } => self.versions(*after, *limit),
            Question::Version(version) => self.version(*version),
            Question::Config(version) => self.config(version.unwrap_or(self.catalog.head())),
            Question::Moves => self.moves(),
            Question::Move(name) => self.one_move(name),
            Question::Targets => self.targets(),
            Question::Revision => self.revision(),
        }
    }

    fn revision(&self) -> Answer {
        let revision = self.catalog.revision();
        match revision.number {
            0 => {
                Answer::problem(ResultCode::ResourceNotFound, "no whole configuration is in force")
            }
            _ => Answer::Text(revision.to_json(self.catalog.current().document())),
        }
    }

    fn versions(&self, after: Version, limit: usize) -> Answer {
        let listed: Vec<Value> =
            self.catalog.versions_after(after).take(limit).map(summary).collect();
        Answer::Document(json!({ "versions": listed, "head": self.catalog.head().get() }))
    }

    fn version(&self, version: Version) -> Answer {
        let Some(info) = self.catalog.version(version) else {
            return not_found(version);
        };
        let mut document = summary(info);
        document["patch"] = serde_json::from_str(&info.patch).unwrap_or(Value::Null);
        document["progress"] = json!(self.tracker.progress(version));
        Answer::Document(document)
    }

    fn config(&self, version: Version) -> Answer {
        match self.catalog.document_at(version) {
            Some(document) => Answer::Document(document.to_json()),
            None => not_found(version),
        }
    }

    fn moves(&self) -> Answer {
        let keys = self.catalog.current().document().keys_of(Kind::Moves);
        let moves: Vec<Value> = keys.filter_map(|key| self.describe_move(&key.name)).collect();
        Answer::Document(json!({ "moves": moves }))
    }

    fn one_move(&self, name: &str) -> Answer {
        match self.describe_move(name) {
            Some(document) => Answer::Document(document),
            None => {
                let detail = format!("there is no move {name:?}; list them with `moves`");
                Answer::problem(ResultCode::ResourceNotFound, detail)
            }
        }
    }

    fn describe_move(&self, name: &str) -> Option<Value> {
        let key = kingcuplift_config::ResourceKey::new(Kind::Moves, name);
        let stored = self.catalog.current().document().get(&key)?;
        let Resource::Move(spec) = &stored.resource else {
            return None;
        };
        Some(json!({
            "name": name,
            "service": spec.service.as_str(),
            "from": spec.from.as_ref().map(|from| from.as_str()),
            "to": spec.to.as_str(),
            "share": spec.share.percent(),
            "deadline": spec.deadline.map(|deadline| deadline.to_string()),
            "state": spec.state.as_str(),
            "share_now": f64::from(spec.moved_permille) / 10.0,
            "steps": [],
        }))
    }

    fn targets(&self) -> Answer {
        let mut present: Vec<_> = self.targets.present().collect();
        present.sort_by(|a, b| a.0.cmp(b.0));
        let listed: Vec<Value> = present
            .into_iter()
            .map(|(_, target)| {
                json!({
                    "service": target.service,
                    "version": target.version,
                    "node": target.node,
                    "zone": target.zone,
                    "slots": target.slots,
                    "state": match target.state() {
                        TargetState::Ready => "ready",
                        TargetState::Leaving => "leaving",
                        TargetState::Gone => "gone",
                    },
                })
            })
            .collect();
        Answer::Document(json!({ "targets": listed }))
    }
}

fn summary(info: &VersionInfo) -> Value {
    let at = i64::try_from(info.at_ms).ok();
    let at = at.and_then(|ms| jiff::Timestamp::from_millisecond(ms).ok());
    json!({
        "version": info.version.get(),
        "base": info.base.get(),
        "at": at.map(|time| time.to_string()),
        "note": info.note,
        "author": info.author,
    })
}

fn not_found(version: Version) -> Answer {
    let detail = format!("version {version} does not exist or is no longer kept");
    Answer::problem(ResultCode::VersionNotFound, detail)
}
