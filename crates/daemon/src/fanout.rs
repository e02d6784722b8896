//! Fan-out of configuration and targets from a source member or relay to its downstream processes.

use std::collections::{BTreeMap, HashSet};
use std::sync::Arc;

use kingcuplift_config::{
    DepartureTable, Subscription, UpdateSummary, VersionedDocument, encode_update,
};
use kingcuplift_core::{Digest, Event, NodeName, Version, ZoneName};
use kingcuplift_schema::control::{
    Beat, DepartureList, Directory, Downward, FreshnessReply, Hello, TargetUpdate, UpdateFrame,
    downward,
};
use kingcuplift_traffic::TargetTable;
use tokio::sync::Notify;

/// Identifier of a session, unique within the process.
pub(crate) type SessionId = u64;

/// A connected downstream process, with the state that was last sent to it.
#[derive(Debug)]
pub(crate) struct Downstream {
    pub(crate) name: NodeName,
    pub(crate) zone: ZoneName,
    /// Version in force, as reported by the process.
    pub(crate) applied: Version,
    subscription: Subscription,
    /// Version sent last, or reported on joining; `None` makes the next update a full one.
    sent_version: Option<Version>,
    /// Update sent last on this session; its digest is that of the receiver's resources.
    sent_update: Option<UpdateSummary>,
    /// Position of the target table up to which targets were sent.
    sent_position: Option<u64>,
    /// Position of the departures up to which they were sent.
    sent_departures: u64,
    /// Revision of the directory sent last.
    sent_directory: u64,
    /// Freshness to report in a queued heartbeat.
    queued_heartbeat: Option<bool>,
    queued_replies: Vec<FreshnessReply>,
    wake: Arc<Notify>,
}

/// What is sent to downstream processes.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Content<'a> {
    /// Configuration; without it, updates of the configuration stay pending.
    pub(crate) config: Option<&'a VersionedDocument>,
    pub(crate) targets: &'a TargetTable,
    pub(crate) departures: &'a DepartureTable,
    pub(crate) departure_scope: DepartureScope,
}

/// Which departures a downstream process gets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum DepartureScope {
    /// Those of all nodes.
    AllNodes,
    /// Those of the process itself.
    Receiver,
}

/// Cache of encoded updates to one head version, by base version and subscription.
#[derive(Debug, Default)]
struct FrameCache {
    head: Version,
    frames: BTreeMap<(Option<Version>, Subscription), (UpdateFrame, UpdateSummary)>,
}

/// All connected downstream processes.
#[derive(Debug, Default)]
pub(crate) struct Fanout {
    sessions: BTreeMap<SessionId, Downstream>,
    last_session: SessionId,
    cache: FrameCache,
    /// Revision and list of all source members.
    directory: (u64, Directory),
}

impl Fanout {
    /// Adds a process and returns its session and the signal that wakes its sending task.
    ///
    /// `fresh` says whether this process leads or has heard from a current leader recently.
    pub(crate) fn join(
        &mut self,
        name: NodeName,
        zone: ZoneName,
        hello: &Hello,
        config: &VersionedDocument,
        fresh: bool,
    ) -> (SessionId, Arc<Notify>) {
        let services = hello.services.iter().filter_map(|service| service.parse().ok());
        let subscription = Subscription::new(services);
        let version = Version::new(hello.version);
        let digest = Digest::from_bytes(&hello.digest);
        let differs = version == config.head() && digest != Some(config.digest(&subscription));
        let sent_version = match version {
            _ if differs || version == Version::default() => None,
            _ => Some(version),
        };
        let wake = Arc::new(Notify::new());
        wake.notify_one();
        self.last_session += 1;
        let downstream = Downstream {
            name,
            zone,
            applied: version,
            subscription,
            sent_version,
            sent_update: None,
            sent_position: None,
            sent_departures: 0,
            sent_directory: 0,
            queued_heartbeat: Some(fresh),
            queued_replies: Vec::new(),
            wake: Arc::clone(&wake),
        };
        self.sessions.insert(self.last_session, downstream);
        (self.last_session, wake)
    }

    /// Removes a process and ends its sending task.
    pub(crate) fn leave(&mut self, session: SessionId) -> Option<Downstream> {
        let removed = self.sessions.remove(&session);
        if let Some(downstream) = &removed {
            downstream.wake.notify_one();
        }
        removed
    }

    /// Removes all processes and ends their sending tasks.
    pub(crate) fn clear(&mut self) {
        for downstream in std::mem::take(&mut self.sessions).into_values() {
            downstream.wake.notify_one();
        }
    }

    /// Returns all connected processes, oldest session first.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (SessionId, &Downstream)> {
        self.sessions.iter().map(|(id, downstream)| (*id, downstream))
    }

    /// Returns the number of connected processes.
    pub(crate) fn len(&self) -> usize {
        self.sessions.len()
    }

    /// Returns one connected process.
    pub(crate) fn get_mut(&mut self, session: SessionId) -> Option<&mut Downstream> {
        self.sessions.get_mut(&session)
    }

    /// Replaces the list of source members, which is then sent to all processes.
    pub(crate) fn set_directory(&mut self, directory: Directory) {
        if self.directory.1 != directory {
            self.directory = (self.directory.0 + 1, directory);
            self.wake_all();
        }
    }

    /// Queues a heartbeat for each process.
    pub(crate) fn queue_heartbeats(&mut self, fresh: bool) {
        for downstream in self.sessions.values_mut() {
            downstream.queued_heartbeat = Some(fresh);
            downstream.wake.notify_one();
        }
    }

    /// Wakes the sending tasks of the processes with one of these names.
    pub(crate) fn wake_named(&self, names: &HashSet<String>) {
        for downstream in self.sessions.values().filter(|d| names.contains(d.name.as_str())) {
            downstream.wake.notify_one();
        }
    }

    /// Wakes the sending tasks of all processes.
    pub(crate) fn wake_all(&self) {
        for downstream in self.sessions.values() {
            downstream.wake.notify_one();
        }
    }

    /// Queues the reply to a freshness request of one process.
    pub(crate) fn reply(&mut self, session: SessionId, reply: FreshnessReply) {
        if let Some(downstream) = self.sessions.get_mut(&session) {
            downstream.queued_replies.push(reply);
            downstream.wake.notify_one();
        }
    }

    /// Makes the next update of one process a full one.
    pub(crate) fn resync(&mut self, session: SessionId, config: &VersionedDocument) {
        if let Some(downstream) = self.sessions.get_mut(&session) {
            downstream.log_resync(config);
            downstream.sent_version = None;
            downstream.wake.notify_one();
        }
    }

    /// Returns everything that is pending for one process, or `None` if its session has ended.
    pub(crate) fn pull(
        &mut self,
        session: SessionId,
        content: Content<'_>,
    ) -> Option<Vec<Downward>> {
        let Content { config, targets, .. } = content;
        let downstream = self.sessions.get_mut(&session)?;
        let mut bodies = Vec::new();
        // Until there is a configuration, the process keeps the one that it has.
        let config = config.filter(|config| config.head() > Version::default());
        if let Some(config) = config
            && downstream.sent_version.is_none_or(|sent| sent < config.head())
        {
            let (frame, summary) = self.cache.frame(downstream, config);
            downstream.sent_update = Some(summary);
            bodies.push(downward::Body::Update(frame));
            downstream.sent_version = Some(config.head());
        }
        if downstream.sent_directory < self.directory.0 {
            downstream.sent_directory = self.directory.0;
            bodies.push(downward::Body::Directory(self.directory.1.clone()));
        }
        bodies.extend(downstream.take_departures(content).map(downward::Body::Departures));
        bodies.extend(downstream.take_target_update(targets).map(downward::Body::Targets));
        bodies.extend(downstream.queued_replies.drain(..).map(downward::Body::Freshness));
        bodies.extend(
            downstream.queued_heartbeat.take().map(|fresh| downward::Body::Beat(Beat { fresh })),
        );
        Some(bodies.into_iter().map(|body| Downward { body: Some(body) }).collect())
    }
}

impl Downstream {
    /// Logs what was sent last to a process that refused it, and from which changes it was made.
    fn log_resync(&self, config: &VersionedDocument) {
        let sent = self.sent_update.map(|update| update.to_string()).unwrap_or_default();
        let changes = config.describe_changes();
        let fields: [(&str, &dyn std::fmt::Display); 4] = [
            ("peer", &self.name),
            ("sent", &sent),
            ("head", &config.head()),
            ("changes", &changes),
        ];
        Event::SnapshotRequested.emit(&fields);
    }

    /// Returns the departures that were stored since the last call.
    fn take_departures(&mut self, content: Content<'_>) -> Option<DepartureList> {
        let Content { departures: table, departure_scope, .. } = content;
        let since = std::mem::replace(&mut self.sent_departures, table.position());
        let departures: Vec<_> = match departure_scope {
            DepartureScope::AllNodes => table.changed_since(since).cloned().collect(),
            DepartureScope::Receiver => {
                table.of_node(self.name.as_str(), since).into_iter().cloned().collect()
            }
        };
        (!departures.is_empty()).then_some(DepartureList { departures })
    }

    /// Returns the targets that have changed since the last call, or all of them on the first.
    fn take_target_update(&mut self, table: &TargetTable) -> Option<TargetUpdate> {
        let full = self.sent_position.is_none();
        let since = self.sent_position.unwrap_or(0);
        if !full && since == table.position() {
            return None;
        }
        let is_subscribed = |service: &str| match service.parse() {
            Ok(service) => self.subscription.has_service(&service),
            Err(_) => false,
        };
        let targets: Vec<_> = table
            .changed_since(since)
            .filter(|target| is_subscribed(&target.service))
            .cloned()
            .collect();
        self.sent_position = Some(table.position());
        match targets.is_empty() && !full {
            true => None,
            false => Some(TargetUpdate { targets, full, position: table.position() }),
        }
    }
}

impl FrameCache {
    /// Returns the encoded update from the version sent last to the head, and its numbers.
    fn frame(
        &mut self,
        receiver: &Downstream,
        config: &VersionedDocument,
    ) -> (UpdateFrame, UpdateSummary) {
        if self.head != config.head() {
            self.head = config.head();
            self.frames.clear();
        }
        let subscription = &receiver.subscription;
        let key = (receiver.sent_version, subscription.clone());
        let encode = || {
            let update = match receiver.sent_version {
                Some(version) => {
                    let digest = receiver.sent_update.and_then(|update| update.digest());
                    config.update_since(version, subscription, digest)
                }
                None => config.full_update(subscription),
            };
            (encode_update(&update), UpdateSummary::of(&update))
        };
        self.frames.entry(key).or_insert_with(encode).clone()
    }
}
