//! Replicates the document by updates that are lost, duplicated and reordered, and to receivers that restart.

use std::collections::BTreeSet;

use kingcuplift_config::{
    ApplyOutcome, Catalog, Outcome, Submission, Subscription, UpdateError, VersionedDocument,
    decode_update, encode_update,
};
use kingcuplift_core::{Digest, ServiceName, Version};
use kingcuplift_schema::control::{Update, UpdateFrame};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rstest::rstest;
use serde_json::{Value, json};

/// Seed of the random schedules.
const SEED: u64 = 20_261_204;
/// Receivers per schedule.
const RECEIVERS: usize = 3;

/// A receiver's copy of the document, with the state that the sender keeps for the receiver.
#[derive(Debug)]
struct Receiver {
    copy: VersionedDocument,
    subscription: Subscription,
    /// Version that the sender assumes the receiver to hold.
    sent: Option<Version>,
    in_flight: Vec<UpdateFrame>,
    needs_full: bool,
    /// Digest of the last update sent.
    digest: Option<Digest>,
}

#[derive(Debug, Clone)]
enum Step {
    Submit(Value),
    Send(usize),
    Deliver(usize, usize),
    Duplicate(usize, usize),
    Drop(usize, usize),
    Restart(usize),
    Reconnect(usize),
}

fn service(number: u8) -> String {
    format!("s{number}")
}

fn any_patch() -> impl Strategy<Value = Value> {
    let change = prop_oneof![
        3 => (0..4_u8, 1..50_u8).prop_map(|(n, slots)| {
            json!({ "services": { service(n): { "slots": slots } } })
        }),
        4 => (0..6_u8, 0..4_u8, 0..3_u8).prop_map(|(r, s, p)| json!({
            "routes": { format!("r{r}"): {
                "host": format!("h{r}"), "service": service(s), "priority": format!("p{p}"),
            } }
        })),
        2 => (0..6_u8).prop_map(|r| json!({ "routes": { format!("r{r}"): null } })),
        2 => (0..3_u8, 0..9_u8).prop_map(|(p, rank)| json!({
            "priorities": { format!("p{p}"): { "rank": rank } }
        })),
        1 => (0..4_u8).prop_map(|n| json!({ "services": { service(n): null } })),
        1 => (0..3_u8).prop_map(|p| json!({ "priorities": { format!("p{p}"): null } })),
        1 => (0..2_u8, any::<bool>()).prop_map(|(z, out)| json!({
            "zones": { format!("z{z}"): { "state": if out { "out" } else { "in" } } }
        })),
        1 => (0..4_u8, 1..100_u8).prop_map(|(n, share)| json!({
            "moves": { format!("m{n}"): {
                "service": service(n), "from": "v1", "to": "v2", "share": share,
                "deadline": "2026-12-04T18:00:00Z",
            } }
        })),
    ];
    change
}

fn any_steps() -> impl Strategy<Value = Vec<Step>> {
    let receiver = 0..RECEIVERS;
    let step = prop_oneof![
        6 => any_patch().prop_map(Step::Submit),
        6 => receiver.clone().prop_map(Step::Send),
        8 => (receiver.clone(), any::<usize>()).prop_map(|(r, at)| Step::Deliver(r, at)),
        2 => (receiver.clone(), any::<usize>()).prop_map(|(r, at)| Step::Duplicate(r, at)),
        2 => (receiver.clone(), any::<usize>()).prop_map(|(r, at)| Step::Drop(r, at)),
        1 => receiver.clone().prop_map(Step::Restart),
        1 => receiver.prop_map(Step::Reconnect),
    ];
    prop::collection::vec(step, 1..150)
}

fn submit(catalog: &mut Catalog, number: usize, patch: &Value) -> Outcome {
    catalog.apply(&Submission {
        operation: format!("op-{number}"),
        at_head: true,
        patch: patch.to_string(),
        ..Submission::default()
    })
}

impl Receiver {
    fn new(subscription: Subscription) -> Self {
        let copy = VersionedDocument::default();
        Self {
            copy,
            subscription,
            sent: None,
            in_flight: Vec::new(),
            needs_full: false,
            digest: None,
        }
    }

    /// Sends the changes that the receiver lacks according to the sender's state.
    fn send(&mut self, source: &VersionedDocument) {
        let update = match self.sent {
            _ if self.needs_full => source.full_update(&self.subscription),
            Some(version) => source.update_since(version, &self.subscription, self.digest),
            None => source.full_update(&self.subscription),
        };
        self.needs_full = false;
        self.sent = Some(source.head());
        self.digest = Digest::from_bytes(&update.digest);
        self.in_flight.push(encode_update(&update));
    }

    fn deliver(&mut self, at: usize, duplicate: bool, source: &VersionedDocument) {
        if self.in_flight.is_empty() {
            return;
        }
        let at = at % self.in_flight.len();
        let frame = match duplicate {
            true => self.in_flight[at].clone(),
            false => self.in_flight.remove(at),
        };
        let update = decode_update(&frame).expect("the frame is valid");
        let before = (self.copy.head(), self.copy.document().digest());
        match self.copy.apply(&update, &self.subscription) {
            Ok(ApplyOutcome::Applied) => assert_eq!(self.copy.head(), Version::new(update.version)),
            Ok(ApplyOutcome::Stale) => {
                assert_eq!(before, (self.copy.head(), self.copy.document().digest()));
            }
            Err(_) => {
                assert_eq!(before, (self.copy.head(), self.copy.document().digest()));
                self.needs_full = true;
            }
        }
        assert!(self.copy.head() >= before.0, "the version never decreases");
        assert!(self.copy.head() <= source.head());
        check_references(&self.copy);
    }
}

/// Checks that all references resolve.
fn check_references(document: &VersionedDocument) {
    for (key, stored) in document.document().iter() {
        for target in stored.resource.references() {
            assert!(document.document().contains(&target), "{key} refers to {target}");
        }
    }
}

/// Returns the resources that a subscription covers, determined by brute force.
fn covered_resources(
    source: &VersionedDocument,
    subscription: &Subscription,
) -> BTreeSet<(String, String)> {
    let all: Vec<(String, Value)> = source
        .document()
        .iter()
        .map(|(key, stored)| (key.to_string(), serde_json::from_str(&stored.json).expect("JSON")))
        .collect();
    let Subscription::Services(services) = subscription else {
        return all.into_iter().map(|(key, value)| (key, value.to_string())).collect();
    };
    let named =
        |value: &Value| services.iter().any(|service| value.as_str() == Some(service.as_str()));
    let routes =
        all.iter().filter(|(key, value)| key.starts_with("routes") && named(&value["service"]));
    let used: Vec<String> = routes
        .filter_map(|(_, v)| Some(format!("priorities/{}", v["priority"].as_str()?)))
        .collect();
    let covered = |key: &String, value: &Value| match key.split_once('/') {
        Some(("zones", _)) => true,
        Some(("services", name)) => services.iter().any(|service| service.as_str() == name),
        Some(("priorities", _)) => used.contains(key),
        _ => named(&value["service"]),
    };
    let kept = all.into_iter().filter(|(key, value)| covered(key, value));
    kept.map(|(key, value)| (key, value.to_string())).collect()
}

fn resources(document: &VersionedDocument) -> BTreeSet<(String, String)> {
    document
        .document()
        .iter()
        .map(|(key, stored)| (key.to_string(), stored.json.to_string()))
        .collect()
}

fn subscription(names: &[u8]) -> Subscription {
    let services = names.iter().map(|n| service(*n).parse::<ServiceName>().expect("a name"));
    Subscription::new(services)
}

fn run(steps: &[Step], subscriptions: &[Vec<u8>]) {
    let mut catalog = Catalog::default();
    let mut receivers: Vec<Receiver> =
        subscriptions.iter().map(|names| Receiver::new(subscription(names))).collect();
    for (number, step) in steps.iter().enumerate() {
        match step {
            Step::Submit(patch) => drop(submit(&mut catalog, number, patch)),
            Step::Send(r) => receivers[*r].send(catalog.current()),
            Step::Deliver(r, at) => receivers[*r].deliver(*at, false, catalog.current()),
            Step::Duplicate(r, at) => receivers[*r].deliver(*at, true, catalog.current()),
            Step::Drop(r, at) => {
                let in_flight = &mut receivers[*r].in_flight;
                if !in_flight.is_empty() {
                    in_flight.remove(at % in_flight.len());
                }
            }
            Step::Restart(r) => {
                receivers[*r].copy = VersionedDocument::default();
                receivers[*r].sent = None;
                receivers[*r].digest = None;
                receivers[*r].in_flight.clear();
            }
            Step::Reconnect(r) => {
                receivers[*r].sent = Some(receivers[*r].copy.head()).filter(|v| v.get() > 0);
                receivers[*r].digest = None;
                receivers[*r].in_flight.clear();
            }
        }
    }
    for receiver in &mut receivers {
        receiver.in_flight.clear();
        receiver.sent = Some(receiver.copy.head()).filter(|version| version.get() > 0);
        receiver.digest = None;
        for _ in 0..2 {
            receiver.send(catalog.current());
            receiver.deliver(0, false, catalog.current());
        }
        let expected = covered_resources(catalog.current(), &receiver.subscription);
        assert_eq!(
            resources(&receiver.copy),
            expected,
            "the copy holds exactly the covered resources"
        );
        let digest = catalog.current().digest(&receiver.subscription);
        assert_eq!(receiver.copy.document().digest(), digest);
        assert_eq!(receiver.copy.head(), catalog.head());
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 1_500,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn copies_converge(
        steps in any_steps(),
        subscriptions in prop::collection::vec(prop::collection::vec(0..4_u8, 0..3), RECEIVERS),
    ) {
        run(&steps, &subscriptions);
    }

    /// An update with a missing or altered resource is rejected and leaves the document unchanged.
    #[test]
    fn damaged_update_is_refused(drop_at in any::<usize>(), byte in any::<usize>()) {
        let mut catalog = Catalog::default();
        submit(&mut catalog, 1, &json!({
            "services": { "s0": {}, "s1": {} },
            "routes": { "r0": { "host": "h", "service": "s0" }, "r1": { "host": "i", "service": "s1" } },
        }));
        let mut update = catalog.current().full_update(&Subscription::All);
        let at = drop_at % update.changes.len();
        match byte % 2 {
            0 => drop(update.changes.remove(at)),
            _ => update.changes[at].json = Some(json!({ "slots": 7 }).to_string()),
        }
        let mut document = VersionedDocument::default();
        prop_assert!(document.apply(&update, &Subscription::All).is_err());
        prop_assert_eq!(document.head(), Version::default());
        prop_assert!(document.document().is_empty());
    }
}

#[rstest]
#[case::older(4, ApplyOutcome::Stale)]
#[case::same(5, ApplyOutcome::Applied)]
fn full_update_never_decreases_version(#[case] version: u64, #[case] expected: ApplyOutcome) {
    let mut document = VersionedDocument::restore(Version::new(5), []);
    let digest = document.digest(&Subscription::All).to_bytes().to_vec();
    let update = Update { version, digest, full: true, ..Update::default() };
    assert_eq!(document.apply(&update, &Subscription::All).expect("the update is valid"), expected);
    assert_eq!(document.head(), Version::new(5));
}

#[test]
fn gap_is_reported() {
    let mut document = VersionedDocument::restore(Version::new(2), []);
    let update = Update { base: 4, version: 5, ..Update::default() };
    let outcome = document.apply(&update, &Subscription::All);
    assert!(matches!(outcome, Err(UpdateError::Gap { .. })));
}
