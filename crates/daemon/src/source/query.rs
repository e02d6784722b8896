//! Read-only queries from operators, on the leader's state.

use std::collections::BTreeMap;

use kingcuplift_config::{Catalog, Kind, Resource, VersionInfo};
use kingcuplift_core::{ResultCode, Version};
use kingcuplift_schema::control::TargetState;
use kingcuplift_traffic::{ProgressTracker, TargetTable, VersionProgress};
use serde_json::{Value, json};

use crate::source::response::Response;

/// Default number of versions per list.
pub(crate) const DEFAULT_LIST_LIMIT: usize = 100;

/// A read-only query.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Query {
    /// Versions after a given one, at most `limit`.
    Versions {
        /// List only versions above this one.
        after: Version,
        /// Maximum number of versions to list.
        limit: usize,
    },
    /// One version and its rollout progress.
    Version(Version),
    /// The configuration at a version, or at the head.
    Config(Option<Version>),
    /// All moves.
    Moves,
    /// One move.
    Move(String),
    /// Registered targets.
    Targets,
    /// The full configuration in force, in the format that operators submit.
    Revision,
}

/// State that queries read.
#[derive(Debug)]
pub(crate) struct QueryContext<'a> {
    pub(crate) catalog: &'a Catalog,
    pub(crate) tracker: &'a ProgressTracker,
    pub(crate) targets: &'a TargetTable,
}

impl QueryContext<'_> {
    /// Runs a query.
    pub(crate) fn run(&self, query: &Query) -> Response {
        match query {
            Query::Versions { after, limit } => self.versions(*after, *limit),
            Query::Version(version) => self.version(*version),
            Query::Config(version) => self.config(version.unwrap_or(self.catalog.head())),
            Query::Moves => self.moves(),
            Query::Move(name) => self.one_move(name),
            Query::Targets => self.targets(),
            Query::Revision => self.revision(),
        }
    }

    fn revision(&self) -> Response {
        let revision = self.catalog.revision();
        match revision.number {
            0 => {
                Response::problem(ResultCode::ResourceNotFound, "no full configuration is in force")
            }
            _ => Response::Text(revision.to_json(self.catalog.current().document())),
        }
    }

    fn versions(&self, after: Version, limit: usize) -> Response {
        let listed: Vec<Value> =
            self.catalog.versions_after(after).take(limit).map(summary).collect();
        Response::Document(json!({ "versions": listed, "head": self.catalog.head().get() }))
    }

    fn version(&self, version: Version) -> Response {
        let Some(info) = self.catalog.version(version) else {
            return not_found(version);
        };
        let mut document = summary(info);
        document["patch"] = serde_json::from_str(&info.patch).unwrap_or(Value::Null);
        document["progress"] = progress_json(&self.tracker.progress(version));
        Response::Document(document)
    }

    fn config(&self, version: Version) -> Response {
        match self.catalog.document_at(version) {
            Some(document) => Response::Document(document.to_json()),
            None => not_found(version),
        }
    }

    fn moves(&self) -> Response {
        let keys = self.catalog.current().document().keys_of(Kind::Moves);
        let moves: Vec<Value> = keys.filter_map(|key| self.describe_move(&key.name)).collect();
        Response::Document(json!({ "moves": moves }))
    }

    fn one_move(&self, name: &str) -> Response {
        match self.describe_move(name) {
            Some(document) => Response::Document(document),
            None => {
                let detail = format!("there is no move {name:?}; list them with `moves`");
                Response::problem(ResultCode::ResourceNotFound, detail)
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

    fn targets(&self) -> Response {
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
        Response::Document(json!({ "targets": listed }))
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

fn not_found(version: Version) -> Response {
    let detail = format!("version {version} does not exist or is no longer kept");
    Response::problem(ResultCode::VersionNotFound, detail)
}

/// Returns the progress of a version, in all and by availability zone.
fn progress_json(progress: &VersionProgress) -> Value {
    let zones: BTreeMap<_, _> = progress
        .zones
        .iter()
        .map(|(zone, count)| {
            (zone.as_str(), json!({ "in_force": count.in_force, "known": count.known }))
        })
        .collect();
    json!({ "in_force": progress.in_force, "known": progress.known, "zones": zones })
}
