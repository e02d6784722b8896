//! Downstream processes of a source member or relay and what each has been sent.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use kingcuplift_config::{Subscription, VersionedDocument, encode_update};
use kingcuplift_core::{Digest, NodeName, Version, ZoneName};
use kingcuplift_schema::control::{
    Beat, Directory, Downward, FreshnessReply, Hello, TargetUpdate, UpdateFrame, downward,
};
use kingcuplift_traffic::TargetTable;
use tokio::sync::Notify;

/// Number of a session, unique within the process.
pub(crate) type SessionId = u64;

/// One connected downstream process.
#[derive(Debug)]
pub(crate) struct Downstream {
    pub(crate) name: NodeName,
    pub(crate) zone: ZoneName,
    /// Version in force, as reported.
    pub(crate) applied: Version,
    subscription: Subscription,
    /// Version sent last; `None` means that the next update is a full one.
    sent: Option<Version>,
    /// Digest of what was sent last.
    digest: Option<Digest>,
    position: Option<u64>,
    /// Number of the directory sent last.
    directory: u64,
    /// A beat that is to be sent, and what it says of freshness.
    beat: Option<bool>,
    replies: Vec<FreshnessReply>,
    wake: Arc<Notify>,
}

/// Encoded updates by base version and subscription, for one head version.
#[derive(Debug, Default)]
struct FrameCache {
    head: Version,
    frames: BTreeMap<(Option<Version>, Subscription), (UpdateFrame, Option<Digest>)>,
}

/// All connected downstream processes.
#[derive(Debug, Default)]
pub(crate) struct Fanout {
    sessions: HashMap<SessionId, Downstream>,
    next: SessionId,
    cache: FrameCache,
    /// All source members, with the number of the change.
    directory: (u64, Directory),
}

impl Fanout {
    /// Adds a process and returns its session and the signal that wakes its sender.
    ///
    /// `fresh` says whether this process has word of a current leader.
    pub(crate) fn join(
        &mut self,
        name: NodeName,
        zone: ZoneName,
        hello: &Hello,
        feed: &VersionedDocument,
        fresh: bool,
    ) -> (SessionId, Arc<Notify>) {
        let services = hello.services.iter().filter_map(|service| service.parse().ok());
        let subscription = Subscription::new(services);
        let held = Version::new(hello.version);
        let digest = Digest::from_bytes(&hello.digest);
        let differs = held == feed.head() && digest != Some(feed.digest(&subscription));
        let sent = match held {
            _ if differs || held == Version::default() => None,
            _ => Some(held),
        };
        let wake = Arc::new(Notify::new());
        wake.notify_one();
        self.next += 1;
        let downstream = Downstream {
            name,
            zone,
            applied: held,
            subscription,
            sent,
            digest: None,
            position: None,
            directory: 0,
            beat: Some(fresh),
            replies: Vec::new(),
            wake: Arc::clone(&wake),
        };
        self.sessions.insert(self.next, downstream);
        (self.next, wake)
    }

    /// Removes a process.
    pub(crate) fn leave(&mut self, session: SessionId) -> Option<Downstream> {
        let gone = self.sessions.remove(&session);
        if let Some(downstream) = &gone {
            downstream.wake.notify_one();
        }
        gone
    }

    /// Removes all processes; their senders end.
    pub(crate) fn clear(&mut self) {
        for (_, downstream) in self.sessions.drain() {
            downstream.wake.notify_one();
        }
    }

    /// Returns all connected processes.
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

    /// Takes over the list of source members, to be sent to all processes.
    pub(crate) fn set_directory(&mut self, directory: Directory) {
        if self.directory.1 != directory {
            self.directory = (self.directory.0 + 1, directory);
            self.wake_all();
        }
    }

    /// Shows all processes that their links work.
    pub(crate) fn beat_all(&mut self, fresh: bool) {
        for downstream in self.sessions.values_mut() {
            downstream.beat = Some(fresh);
            downstream.wake.notify_one();
        }
    }

    /// Wakes the senders of all processes.
    pub(crate) fn wake_all(&self) {
        for downstream in self.sessions.values() {
            downstream.wake.notify_one();
        }
    }

    /// Queues a proof of freshness for one process.
    pub(crate) fn reply(&mut self, session: SessionId, reply: FreshnessReply) {
        if let Some(downstream) = self.sessions.get_mut(&session) {
            downstream.replies.push(reply);
            downstream.wake.notify_one();
        }
    }

    /// Makes the next update of one process a full one.
    pub(crate) fn resync(&mut self, session: SessionId) {
        if let Some(downstream) = self.sessions.get_mut(&session) {
            downstream.sent = None;
            downstream.wake.notify_one();
        }
    }

    /// Returns all that one process has not been sent yet; `None` means that it has left.
    pub(crate) fn pull(
        &mut self,
        session: SessionId,
        feed: &VersionedDocument,
        table: &TargetTable,
    ) -> Option<Vec<Downward>> {
        let downstream = self.sessions.get_mut(&session)?;
        let mut bodies = Vec::new();
        if downstream.sent.is_none_or(|sent| sent < feed.head()) {
            let (frame, digest) = self.cache.frame(downstream, feed);
            downstream.digest = digest;
            bodies.push(downward::Body::Update(frame));
            downstream.sent = Some(feed.head());
        }
        if downstream.directory < self.directory.0 {
            downstream.directory = self.directory.0;
            bodies.push(downward::Body::Directory(self.directory.1.clone()));
        }
        bodies.extend(downstream.next_targets(table).map(downward::Body::Targets));
        bodies.extend(downstream.replies.drain(..).map(downward::Body::Freshness));
        bodies.extend(downstream.beat.take().map(|fresh| downward::Body::Beat(Beat { fresh })));
        Some(bodies.into_iter().map(|body| Downward { body: Some(body) }).collect())
    }
}

impl Downstream {
    /// Returns the targets that have changed since the last call.
    fn next_targets(&mut self, table: &TargetTable) -> Option<TargetUpdate> {
        let full = self.position.is_none();
        let since = self.position.unwrap_or(0);
        if !full && since == table.position() {
            return None;
        }
        let subscribed = |service: &str| match service.parse() {
            Ok(service) => self.subscription.has_service(&service),
            Err(_) => false,
        };
        let targets: Vec<_> = table
            .changed_since(since)
            .filter(|target| subscribed(&target.service))
            .cloned()
            .collect();
        self.position = Some(table.position());
        match targets.is_empty() && !full {
            true => None,
            false => Some(TargetUpdate { targets, full, position: table.position() }),
        }
    }
}

impl FrameCache {
    /// Returns the encoded update from what was sent to the head, and the digest after it.
    fn frame(
        &mut self,
        receiver: &Downstream,
        feed: &VersionedDocument,
    ) -> (UpdateFrame, Option<Digest>) {
        if self.head != feed.head() {
            self.head = feed.head();
            self.frames.clear();
        }
        let subscription = &receiver.subscription;
        let key = (receiver.sent, subscription.clone());
        let make = || {
            let update = match receiver.sent {
                Some(version) => feed.update_since(version, subscription, receiver.digest),
                None => feed.full_update(subscription),
            };
            (encode_update(&update), Digest::from_bytes(&update.digest))
        };
        self.frames.entry(key).or_insert_with(make).clone()
    }
}
