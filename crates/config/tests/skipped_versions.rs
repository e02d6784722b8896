//! Replicates the document over relays that skip versions, to receivers that move between the relays.

use std::collections::BTreeSet;

use kingcuplift_config::{
    ApplyOutcome, Catalog, Submission, Subscription, VersionedDocument, decode_update,
    encode_update,
};
use kingcuplift_core::{Digest, ServiceName, Version};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rstest::rstest;
use serde_json::{Value, json};

/// Seed of the random schedules.
const SEED: u64 = 20_261_206;
/// Source members that apply the same log, each up to a position of its own.
const MEMBERS: usize = 2;
/// Relays, which hold all resources.
const RELAYS: usize = 3;
/// Receivers, each with a subscription of its own.
const RECEIVERS: usize = 4;

/// Resources of a document, by key.
type Resources = BTreeSet<(String, String)>;

#[derive(Debug, Clone)]
enum Step {
    Submit(Value),
    /// A member applies this number of entries of the log.
    Apply(usize, usize),
    /// A member goes on from a snapshot, which does not contain earlier changes.
    Restore(usize),
    /// A relay connects to a member.
    Link(usize, usize),
    /// A relay gets what it lacks from its member.
    Relay(usize),
    RestartRelay(usize),
    /// A receiver connects to a relay.
    Move(usize, usize),
    /// A receiver gets what it lacks from its relay.
    Deliver(usize),
    RestartReceiver(usize),
}

/// A copy of the document and the sender's state of the link that keeps it up to date.
#[derive(Debug)]
struct Copy {
    document: VersionedDocument,
    subscription: Subscription,
    sender: usize,
    /// Version that the sender assumes the copy to have.
    sent: Option<Version>,
    digest: Option<Digest>,
}

impl Copy {
    fn new(subscription: Subscription) -> Self {
        let document = VersionedDocument::default();
        Self { document, subscription, sender: 0, sent: None, digest: None }
    }

    fn restart(&mut self) {
        *self = Self { sender: self.sender, ..Self::new(self.subscription.clone()) };
    }

    /// Connects to a sender, which learns the version that the copy has.
    fn link(&mut self, sender: usize) {
        self.sender = sender;
        self.sent = Some(self.document.head()).filter(|version| version.get() > 0);
        self.digest = None;
    }

    /// Gets what the copy lacks; returns whether its version has changed.
    fn receive(&mut self, sender: &VersionedDocument) -> bool {
        let is_behind = self.sent.is_none_or(|sent| sent < sender.head());
        if sender.head() == Version::default() || !is_behind {
            return false;
        }
        let update = match self.sent {
            Some(version) => sender.update_since(version, &self.subscription, self.digest),
            None => sender.full_update(&self.subscription),
        };
        let frame = encode_update(&update);
        let decoded = decode_update(&frame).expect("the frame is valid");
        let outcome = self.document.apply(&decoded, &self.subscription);
        let outcome = outcome.unwrap_or_else(|error| panic!("no update is refused: {error}"));
        self.sent = Some(sender.head());
        self.digest = Digest::from_bytes(&update.digest);
        assert_eq!(self.document.head(), sender.head());
        outcome == ApplyOutcome::Applied
    }

    /// Checks that the copy holds exactly what its subscription covers of the given resources.
    fn check(&self, all: &Resources) {
        let held = resources(&self.document);
        assert_eq!(held, covered(all, &self.subscription), "at {}", self.document.head());
    }
}

fn resources(document: &VersionedDocument) -> Resources {
    let all = document.document().iter();
    all.map(|(key, stored)| (key.to_string(), stored.json.to_string())).collect()
}

/// Returns the names of the services that a route or move refers to.
fn services_of(value: &Value) -> Vec<&str> {
    let parts = value["split"].as_array().map(Vec::as_slice).unwrap_or_default();
    let parts = parts.iter().filter_map(|part| part["service"].as_str());
    parts.chain(value["service"].as_str()).collect()
}

/// Returns the resources that a subscription covers, determined by brute force.
fn covered(all: &Resources, subscription: &Subscription) -> Resources {
    let Subscription::Services(subscribed) = subscription else { return all.clone() };
    let is_subscribed = |name: &str| subscribed.iter().any(|service| service.as_str() == name);
    let mut covered = BTreeSet::new();
    for (key, json) in all {
        let value: Value = serde_json::from_str(json).expect("stored resources are JSON");
        let (kind, name) = key.split_once('/').expect("a key has a kind");
        let services = services_of(&value);
        match kind {
            "zones" | "limits" => drop(covered.insert(key.clone())),
            "services" if is_subscribed(name) => drop(covered.insert(key.clone())),
            "routes" | "moves" if services.iter().any(|service| is_subscribed(service)) => {
                covered.insert(key.clone());
                covered.extend(services.iter().map(|service| format!("services/{service}")));
                covered.extend(value["priority"].as_str().map(|name| format!("priorities/{name}")));
            }
            _ => {}
        }
    }
    all.iter().filter(|(key, _)| covered.contains(key)).cloned().collect()
}

fn any_patch() -> impl Strategy<Value = Value> {
    prop_oneof![
        3 => (0..4_u8, 1..4_u8).prop_map(|(n, slots)| {
            json!({ "services": { format!("s{n}"): { "slots": slots } } })
        }),
        3 => (0..5_u8, 0..4_u8, prop::option::of(0..2_u8)).prop_map(|(r, s, p)| json!({
            "routes": { format!("r{r}"): {
                "host": format!("h{r}"), "service": format!("s{s}"), "split": null,
                "priority": p.map(|p| format!("p{p}")),
            } }
        })),
        3 => (0..5_u8, 0..4_u8, 0..4_u8).prop_map(|(r, a, b)| json!({
            "routes": { format!("r{r}"): {
                "host": format!("h{r}"), "service": null, "priority": null,
                "split": [
                    { "service": format!("s{a}"), "weight": 1 },
                    { "service": format!("s{b}"), "weight": 2 },
                ],
            } }
        })),
        4 => (0..5_u8).prop_map(|r| json!({ "routes": { format!("r{r}"): null } })),
        1 => (0..2_u8, 0..3_u8).prop_map(|(p, rank)| json!({
            "priorities": { format!("p{p}"): { "rank": rank } }
        })),
        1 => (0..4_u8).prop_map(|n| json!({ "services": { format!("s{n}"): null } })),
        1 => (0..2_u8).prop_map(|p| json!({ "priorities": { format!("p{p}"): null } })),
        1 => (0..2_u8, any::<bool>()).prop_map(|(z, out)| json!({
            "zones": { format!("z{z}"): { "state": if out { "out" } else { "in" } } }
        })),
        1 => (0..4_u8, 1..100_u8).prop_map(|(n, share)| json!({
            "moves": { format!("m{n}"): {
                "service": format!("s{n}"), "from": "v1", "to": "v2", "share": share,
                "deadline": "2026-12-04T18:00:00Z",
            } }
        })),
        1 => (0..4_u8).prop_map(|n| json!({ "moves": { format!("m{n}"): null } })),
    ]
}

fn any_steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        12 => any_patch().prop_map(Step::Submit),
        8 => (0..MEMBERS, 1..6_usize).prop_map(|(m, entries)| Step::Apply(m, entries)),
        1 => (0..MEMBERS).prop_map(Step::Restore),
        3 => (0..RELAYS, 0..MEMBERS).prop_map(|(r, m)| Step::Link(r, m)),
        8 => (0..RELAYS).prop_map(Step::Relay),
        1 => (0..RELAYS).prop_map(Step::RestartRelay),
        6 => (0..RECEIVERS, 0..RELAYS).prop_map(|(n, r)| Step::Move(n, r)),
        10 => (0..RECEIVERS).prop_map(Step::Deliver),
        1 => (0..RECEIVERS).prop_map(Step::RestartReceiver),
    ];
    prop::collection::vec(step, 1..150)
}

/// A source, its relays and their receivers.
#[derive(Debug)]
struct Mesh {
    log: Vec<Submission>,
    /// Resources of each version.
    versions: Vec<Resources>,
    members: Vec<(Catalog, usize)>,
    relays: Vec<Copy>,
    receivers: Vec<Copy>,
}

impl Mesh {
    fn new(subscriptions: &[Vec<u8>]) -> Self {
        let names = |numbers: &Vec<u8>| {
            let services = numbers.iter().map(|n| format!("s{n}"));
            Subscription::new(services.map(|name| name.parse::<ServiceName>().expect("a name")))
        };
        Self {
            log: Vec::new(),
            versions: vec![Resources::new()],
            members: vec![(Catalog::default(), 0); MEMBERS],
            relays: (0..RELAYS).map(|_| Copy::new(Subscription::All)).collect(),
            receivers: subscriptions.iter().map(|numbers| Copy::new(names(numbers))).collect(),
        }
    }

    fn submit(&mut self, patch: &Value) {
        let operation = format!("op-{}", self.log.len());
        let patch = patch.to_string();
        let submission = Submission { operation, at_head: true, patch, ..Submission::default() };
        self.log.push(submission);
    }

    fn apply(&mut self, member: usize, entries: usize) {
        let (catalog, position) = &mut self.members[member];
        for submission in self.log.iter().skip(*position).take(entries) {
            catalog.apply(submission);
            *position += 1;
            if catalog.head().get() == self.versions.len() as u64 {
                self.versions.push(resources(catalog.current()));
            }
        }
    }

    fn run(&mut self, step: &Step) {
        match step {
            Step::Submit(patch) => self.submit(patch),
            Step::Apply(member, entries) => self.apply(*member, *entries),
            Step::Restore(member) => {
                let (catalog, _) = &mut self.members[*member];
                *catalog = Catalog::decode(&catalog.encode()).expect("the state is valid");
            }
            Step::Link(relay, member) => self.relays[*relay].link(*member),
            Step::Relay(relay) => {
                let relay = &mut self.relays[*relay];
                if relay.receive(self.members[relay.sender].0.current()) {
                    relay.check(&self.versions[relay.document.head().get() as usize]);
                }
            }
            Step::RestartRelay(relay) => self.relays[*relay].restart(),
            Step::Move(receiver, relay) => self.receivers[*receiver].link(*relay),
            Step::Deliver(receiver) => {
                let receiver = &mut self.receivers[*receiver];
                if receiver.receive(&self.relays[receiver.sender].document) {
                    receiver.check(&self.versions[receiver.document.head().get() as usize]);
                }
            }
            Step::RestartReceiver(receiver) => self.receivers[*receiver].restart(),
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 1_500,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    // An update that lacks changes is refused, and the receiver stays at its old version until it got a full one.
    #[test]
    fn no_update_is_refused(
        steps in any_steps(),
        subscriptions in prop::collection::vec(prop::collection::vec(0..4_u8, 0..3), RECEIVERS),
    ) {
        let mut mesh = Mesh::new(&subscriptions);
        for step in &steps {
            mesh.run(step);
        }
    }
}

fn route(host: &str) -> Value {
    json!({ "host": host, "service": "s0" })
}

// A route that was added and removed between two versions of a relay stayed in the updates' receivers.
#[rstest]
#[case::added_and_removed(json!({ "r1": route("new") }), json!({ "r1": null }))]
#[case::changed_and_restored(json!({ "r0": route("other") }), json!({ "r0": route("old") }))]
#[case::removed_and_restored(json!({ "r0": null }), json!({ "r0": route("old") }))]
fn receiver_between_versions(
    #[case] change: Value,
    #[case] restoration: Value,
    #[values(vec![], vec![0])] services: Vec<u8>,
) {
    let mut mesh = Mesh::new(&[services]);
    mesh.submit(&json!({ "services": { "s0": {} }, "routes": { "r0": route("old") } }));
    mesh.submit(&json!({ "routes": change }));
    mesh.submit(&json!({ "routes": restoration }));
    let steps = [
        Step::Apply(0, 1),
        Step::Relay(0),
        Step::Apply(0, 1),
        Step::Relay(1),
        Step::Move(0, 1),
        Step::Deliver(0),
        Step::Apply(0, 1),
        Step::Relay(0),
        Step::Move(0, 0),
        Step::Deliver(0),
    ];
    for step in &steps {
        mesh.run(step);
    }
    assert_eq!(mesh.receivers[0].document.head(), Version::new(3));
}

// A relay that got everything at once knew no removals, but sent its changes to receivers of older versions.
#[test]
fn relay_after_restart() {
    let mut mesh = Mesh::new(&[vec![]]);
    mesh.submit(&json!({ "services": { "s0": {} }, "routes": { "r0": route("old") } }));
    mesh.submit(&json!({ "routes": { "r0": null } }));
    let first = [Step::Apply(0, 1), Step::Relay(0), Step::Deliver(0), Step::Apply(0, 1)];
    let second = [Step::Relay(1), Step::Move(0, 1), Step::Deliver(0)];
    for step in first.iter().chain(&second) {
        mesh.run(step);
    }
    assert_eq!(mesh.receivers[0].document.head(), Version::new(2));
}

// Services to which covered routes split their calls were in the digest, but not in the changes.
#[rstest]
#[case::other_service_changes(json!({ "services": { "s1": { "slots": 3 } } }))]
#[case::other_service_leaves(json!({
    "routes": { "r0": { "host": "old", "service": "s0", "split": null } },
}))]
#[case::other_service_joins(json!({ "routes": { "r0": { "split": [
    { "service": "s0", "weight": 1 }, { "service": "s1", "weight": 1 }, { "service": "s2", "weight": 1 },
] } } }))]
fn split_over_services(#[case] change: Value) {
    let mut mesh = Mesh::new(&[vec![0]]);
    let split = json!([{ "service": "s0", "weight": 1 }, { "service": "s1", "weight": 1 }]);
    mesh.submit(&json!({
        "services": { "s0": {}, "s1": {}, "s2": {} },
        "routes": { "r0": { "host": "old", "split": split } },
    }));
    mesh.submit(&change);
    let update = [Step::Apply(0, 1), Step::Relay(0), Step::Deliver(0)];
    for step in update.iter().chain(&update) {
        mesh.run(step);
    }
    assert_eq!(mesh.receivers[0].document.head(), Version::new(2));
}
