//! What a leader knows of its relays: sessions, progress, targets, and questions about freshness.

use std::collections::BTreeSet;

use actix::Handler;
use kingcuplift_core::{Event, NodeName, Version};
use kingcuplift_quorum::RoleName;
use kingcuplift_schema::control::{Downward, FreshnessReply, Redirect, TargetUpdate, upward};
use kingcuplift_traffic::{TargetKey, TargetRegistry};

use crate::clock::monotonic_ms;
use crate::fanout::{Fanout, SessionId};
use crate::session::{FromBelow, Join, Joined, Leave, Pull};
use crate::source::actor::{SourceActor, Stage};
use crate::source::tracker::Tracker;

/// Time after which a relay asks again when no leader is known, in milliseconds.
const REDIRECT_RETRY: u64 = 200;
/// Time for which a relay may be away before its targets count as gone, in milliseconds.
const RELAY_GRACE: u64 = 30_000;

/// A freshness request that waits for a lease.
#[derive(Debug, Clone, Copy)]
struct Pending {
    session: SessionId,
    request: u64,
}

/// Relays of a leader.
#[derive(Debug)]
pub(crate) struct Relays {
    pub(crate) fanout: Fanout,
    pub(crate) tracker: Tracker,
    pub(crate) targets: TargetRegistry,
    /// Names of the relays that have been connected to this leader.
    names: BTreeSet<NodeName>,
    /// Questions about freshness that wait for a lease.
    pending: Vec<Pending>,
}

impl Default for Relays {
    fn default() -> Self {
        Self {
            fanout: Fanout::default(),
            tracker: Tracker::default(),
            targets: TargetRegistry::new(RELAY_GRACE),
            names: BTreeSet::new(),
            pending: Vec::new(),
        }
    }
}

impl Relays {
    /// Ends the sessions of all relays; they go to the new leader.
    pub(crate) fn drop_all(&mut self) {
        self.fanout.clear();
        *self = Self { fanout: std::mem::take(&mut self.fanout), ..Self::default() };
    }

    /// Answers all questions about freshness with the head of a current leader.
    pub(crate) fn answer_freshness(&mut self, head: Version) {
        for pending in std::mem::take(&mut self.pending) {
            let reply = FreshnessReply { request: pending.request, head: head.get() };
            self.fanout.reply(pending.session, reply);
        }
    }

    /// Returns whether a question about freshness waits.
    pub(crate) fn is_asked(&self) -> bool {
        !self.pending.is_empty()
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

    /// Declares targets gone whose relay has been away for too long.
    ///
    /// While most of the relays are away, the fault is more likely on this side, and nobody expires.
    pub(crate) fn expire_targets(&mut self, now: u64) {
        if self.fanout.len() * 2 < self.names.len() {
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
        let leads = matches!(&self.stage, Stage::Member(r) if r.role() == RoleName::Leader);
        if !leads {
            let address = self.leader_addresses().map(|(_, listen)| listen).unwrap_or_default();
            return Err(Redirect { address, retry_ms: REDIRECT_RETRY });
        }
        let grant = join.grant;
        Event::LinkOpened.emit(&[("peer", &grant.name), ("member", &self.name)]);
        self.relays.names.insert(grant.name.clone());
        let fresh = self.is_current();
        let feed = self.catalog.current();
        let (session, wake) =
            self.relays.fanout.join(grant.name, grant.zone, &join.hello, feed, fresh);
        Ok(Joined { session, wake })
    }
}

impl Handler<Pull> for SourceActor {
    type Result = Option<Vec<Downward>>;

    fn handle(&mut self, pull: Pull, _: &mut Self::Context) -> Self::Result {
        self.relays.fanout.pull(pull.0, self.catalog.current(), self.relays.targets.table())
    }
}

impl Handler<FromBelow> for SourceActor {
    type Result = ();

    fn handle(&mut self, message: FromBelow, _: &mut Self::Context) {
        let session = message.session;
        if self.relays.fanout.get_mut(session).is_none() {
            return;
        }
        match message.body {
            upward::Body::Progress(progress) => self.relays.tracker.update(session, progress),
            upward::Body::Targets(update) => self.relays.merge_targets(session, update),
            upward::Body::Freshness(request) => {
                self.relays.pending.push(Pending { session, request: request.request });
                self.answer_freshness();
            }
            upward::Body::Resync(_) => self.relays.fanout.resync(session),
            upward::Body::Evidence(evidence) => self.learn_evidence(&evidence),
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
