//! A leader's state for its relays: sessions, progress, targets and pending freshness requests.

use std::collections::BTreeSet;

use actix::Handler;
use kingcuplift_core::{Event, NodeName, Version};
use kingcuplift_quorum::RoleName;
use kingcuplift_schema::control::{Downward, FreshnessReply, Redirect, TargetUpdate, upward};
use kingcuplift_traffic::{ProgressTracker, TargetKey, TargetRegistry};

use crate::clock::monotonic_ms;
use crate::fanout::{Content, DepartureScope, Fanout, SessionId};
use crate::session::{DownstreamMessage, Join, Joined, Leave, Pull};
use crate::source::actor::{SourceActor, Stage};
use crate::source::departures::DepartureQueue;
use crate::turns::{Work, measure};

/// Time after which a relay retries while no leader is known, in milliseconds.
const REDIRECT_RETRY_MS: u64 = 200;
/// Time after which a relay retries while the leader applies its log, in milliseconds.
const CATCH_UP_RETRY_MS: u64 = 50;
/// Time after a relay disconnects until its targets expire, in milliseconds.
const RELAY_GRACE_PERIOD_MS: u64 = 30_000;

/// A freshness request that waits for a valid leader lease.
#[derive(Debug, Clone, Copy)]
struct PendingFreshness {
    session: SessionId,
    request: u64,
}

/// Relays connected to a leader.
#[derive(Debug)]
pub(crate) struct Relays {
    pub(crate) fanout: Fanout,
    pub(crate) tracker: ProgressTracker,
    pub(crate) targets: TargetRegistry,
    /// Names of the relays that have connected since this member became leader.
    seen_names: BTreeSet<NodeName>,
    pending_freshness: Vec<PendingFreshness>,
    /// Departures to store.
    pub(crate) departures: DepartureQueue,
}

impl Default for Relays {
    fn default() -> Self {
        Self {
            fanout: Fanout::default(),
            tracker: ProgressTracker::default(),
            targets: TargetRegistry::new(RELAY_GRACE_PERIOD_MS),
            seen_names: BTreeSet::new(),
            pending_freshness: Vec::new(),
            departures: DepartureQueue::default(),
        }
    }
}

impl Relays {
    /// Ends all relay sessions, so that the relays connect to the new leader.
    pub(crate) fn disconnect_all(&mut self) {
        self.fanout.clear();
        *self = Self { fanout: std::mem::take(&mut self.fanout), ..Self::default() };
    }

    /// Replies to all pending freshness requests with the leader's head version.
    pub(crate) fn reply_freshness(&mut self, head: Version) {
        for pending in std::mem::take(&mut self.pending_freshness) {
            let reply = FreshnessReply { request: pending.request, head: head.get() };
            self.fanout.reply(pending.session, reply);
        }
    }

    /// Returns whether a freshness request is pending.
    pub(crate) fn has_pending_freshness(&self) -> bool {
        !self.pending_freshness.is_empty()
    }

    fn merge_targets(&mut self, session: SessionId, update: TargetUpdate) {
        let now = monotonic_ms();
        let before = self.targets.table().position();
        for target in update.targets {
            self.targets.announce(session, target, now);
        }
        if self.targets.table().position() != before {
            self.fanout.wake_all();
        }
    }

    /// Expires the targets of relays that have been disconnected longer than the grace period.
    ///
    /// While most relays are disconnected, the fault is more likely on this side, so nothing expires.
    pub(crate) fn expire_targets(&mut self, now: u64) {
        if self.fanout.len() * 2 < self.seen_names.len() {
            self.targets.restart_grace(now);
        }
        let gone = self.targets.expire(now);
        for target in &gone {
            Event::TargetExpired.emit(&[("target", &TargetKey::of(target))]);
        }
        if !gone.is_empty() {
            self.fanout.wake_all();
        }
    }
}

impl Handler<Join> for SourceActor {
    type Result = Result<Joined, Redirect>;

    fn handle(&mut self, join: Join, _: &mut Self::Context) -> Self::Result {
        let is_leader = matches!(&self.stage, Stage::Member(r) if r.role() == RoleName::Leader);
        // A relay would get each version that is applied after a restart, one after the other.
        if is_leader && !self.has_applied_all() {
            return Err(Redirect { address: String::new(), retry_ms: CATCH_UP_RETRY_MS });
        }
        if !is_leader {
            let address = self.leader_addresses().map(|(_, listen)| listen).unwrap_or_default();
            return Err(Redirect { address, retry_ms: REDIRECT_RETRY_MS });
        }
        let identity = join.identity;
        Event::LinkOpened.emit(&[("peer", &identity.name), ("member", &self.name)]);
        self.relays.seen_names.insert(identity.name.clone());
        let fresh = self.is_current_leader();
        let config = self.catalog.current();
        let (session, wake) = measure(Work::Join, || {
            self.relays.fanout.join(identity.name, identity.zone, &join.hello, config, fresh)
        });
        Ok(Joined { session, wake })
    }
}

impl Handler<Pull> for SourceActor {
    type Result = Option<Vec<Downward>>;

    fn handle(&mut self, pull: Pull, _: &mut Self::Context) -> Self::Result {
        // The versions that the catalog passes while the log is applied are outdated already.
        let config = self.has_applied_all().then(|| self.catalog.current());
        let content = Content {
            config,
            targets: self.relays.targets.table(),
            departures: self.catalog.departures(),
            departure_scope: DepartureScope::AllNodes,
        };
        measure(Work::Encode, || self.relays.fanout.pull(pull.0, content))
    }
}

impl Handler<DownstreamMessage> for SourceActor {
    type Result = ();

    fn handle(&mut self, message: DownstreamMessage, _: &mut Self::Context) {
        let session = message.session;
        if self.relays.fanout.get_mut(session).is_none() {
            return;
        }
        match message.body {
            upward::Body::Progress(progress) => self.relays.tracker.update(session, progress),
            upward::Body::Targets(update) => self.relays.merge_targets(session, update),
            upward::Body::Freshness(request) => {
                self.relays
                    .pending_freshness
                    .push(PendingFreshness { session, request: request.request });
                self.reply_freshness();
            }
            upward::Body::Resync(_) => self.relays.fanout.resync(session, self.catalog.current()),
            upward::Body::Evidence(evidence) => self.handle_evidence(&evidence),
            upward::Body::Departure(departure) => self.handle_departure(departure),
            upward::Body::Hello(_) | upward::Body::Applied(_) => {}
        }
    }
}

impl Handler<Leave> for SourceActor {
    type Result = ();

    fn handle(&mut self, leave: Leave, _: &mut Self::Context) {
        self.relays.fanout.leave(leave.0);
        self.relays.targets.end_session(leave.0, monotonic_ms());
        self.relays.tracker.remove(leave.0);
    }
}
