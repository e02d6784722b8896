//! An incrementally updated view equals one that is rebuilt from scratch.

use std::collections::BTreeSet;

use kingcuplift_config::{ApplyOutcome, Catalog, Submission, Subscription};
use kingcuplift_schema::control::{Target, TargetState};
use kingcuplift_traffic::{MergeResult, Router, RoutingView, TargetTable};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use serde_json::{Value, json};
use smol_str::SmolStr;

/// Seed of the random changes.
const SEED: u64 = 23;
/// Number of services.
const SERVICES: u8 = 4;

#[derive(Debug, Clone)]
enum Step {
    Submit(Value),
    Announce { node: u8, service: u8, version: u8, incarnation: u64, state: u8 },
    Update,
}

fn patch() -> impl Strategy<Value = Value> {
    let service = 0..SERVICES;
    prop_oneof![
        3 => (service.clone(), 1..30_u8)
            .prop_map(|(s, slots)| json!({ "services": { format!("s{s}"): { "slots": slots } } })),
        5 => (0..6_u8, service.clone(), 0..3_u8, 0..3_u8, 0..3_u8).prop_map(|(r, s, h, x, p)| json!({
            "routes": { format!("r{r}"): {
                "host": format!("h{h}"), "prefix": format!("/{x}"), "service": format!("s{s}"),
                "priority": format!("p{p}"),
            } },
        })),
        2 => (0..6_u8).prop_map(|r| json!({ "routes": { format!("r{r}"): null } })),
        2 => (0..3_u8, 0..9_u8)
            .prop_map(|(p, rank)| json!({ "priorities": { format!("p{p}"): { "rank": rank } } })),
        1 => service.clone().prop_map(|s| json!({ "services": { format!("s{s}"): null } })),
        1 => (0..2_u8, any::<bool>()).prop_map(|(z, out)| json!({
            "zones": { format!("z{z}"): { "state": if out { "out" } else { "in" } } },
        })),
        1 => (service, any::<bool>()).prop_map(|(s, gone)| {
            let change = json!({
                "service": format!("s{s}"), "from": "v0", "to": "v1",
                "deadline": "2026-12-04T18:00:00Z",
            });
            json!({ "moves": { format!("m{s}"): if gone { Value::Null } else { change } } })
        }),
    ]
}

fn step() -> impl Strategy<Value = Step> {
    let announce = (0..4_u8, 0..SERVICES, 0..2_u8, 0..6_u64, 0..3_u8);
    prop_oneof![
        4 => patch().prop_map(Step::Submit),
        4 => announce.prop_map(|(node, service, version, incarnation, state)| {
            Step::Announce { node, service, version, incarnation, state }
        }),
        3 => Just(Step::Update),
    ]
}

fn target(node: u8, service: u8, version: u8, incarnation: u64, state: u8) -> Target {
    let mut target = Target {
        node: format!("n{node}"),
        service: format!("s{service}"),
        version: format!("v{version}"),
        zone: format!("z{}", node % 2),
        peer: format!("127.0.0.1:{node}"),
        slots: 5,
        incarnation,
        ..Target::default()
    };
    target.set_state(match state {
        0 => TargetState::Ready,
        1 => TargetState::Leaving,
        _ => TargetState::Gone,
    });
    target
}

/// Describes the services of a view.
fn services(view: &RoutingView) -> Vec<String> {
    let names = (0..SERVICES).map(|number| format!("s{number}"));
    names
        .map(|name| match view.service(&name) {
            Some(service) => {
                let keys: Vec<String> =
                    service.candidates.iter().map(|c| format!("{} {}", c.key, c.zone)).collect();
                format!("{name}: {:?} {keys:?}", service.spec)
            }
            None => format!("{name}: none"),
        })
        .collect()
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 1_000,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn incremental_update_equals_rebuild(steps in prop::collection::vec(step(), 1..120)) {
        let mut catalog = Catalog::default();
        let mut table = TargetTable::default();
        let mut view = RoutingView::default();
        let mut changed: BTreeSet<SmolStr> = BTreeSet::new();
        for (number, step) in steps.into_iter().chain([Step::Update]).enumerate() {
            match step {
                Step::Submit(patch) => {
                    let submission = Submission {
                        operation: number.to_string(),
                        at_head: true,
                        patch: patch.to_string(),
                        ..Submission::default()
                    };
                    catalog.apply(&submission);
                }
                Step::Announce { node, service, version, incarnation, state } => {
                    let target = target(node, service, version, incarnation, state);
                    let name = SmolStr::new(&target.service);
                    if table.merge(target, 0) == MergeResult::Changed {
                        changed.insert(name);
                    }
                }
                Step::Update => {
                    view.update(catalog.current(), &table, &changed);
                    changed.clear();
                    let mut rebuilt = RoutingView::default();
                    let all = (0..SERVICES).map(|s| SmolStr::new(format!("s{s}"))).collect();
                    rebuilt.update(catalog.current(), &table, &all);
                    prop_assert_eq!(view.version(), catalog.head());
                    prop_assert_eq!(view.router(), &Router::new(catalog.current().document()));
                    prop_assert_eq!(services(&view), services(&rebuilt));
                }
            }
        }
    }
}

#[test]
fn longest_prefix_wins() {
    let mut catalog = Catalog::default();
    let route = |prefix: &str| json!({ "host": "h", "prefix": prefix, "service": "s0" });
    let patch = json!({
        "services": { "s0": {} },
        "routes": { "all": route("/"), "part": route("/a"), "deep": route("/a/b") },
    });
    let submission =
        Submission { patch: patch.to_string(), at_head: true, ..Submission::default() };
    catalog.apply(&submission);
    let router = Router::new(catalog.current().document());
    let find = |path: &str| router.find("h", path).map(|route| route.name.to_string());
    assert_eq!(find("/a/b/c").as_deref(), Some("deep"));
    assert_eq!(find("/a/bc").as_deref(), Some("part"));
    assert_eq!(find("/ab").as_deref(), Some("all"));
    assert_eq!(router.find("x", "/a"), None);
}

/// Returns a catalog with one route, at version 1.
fn catalog_with_route(prefix: &str) -> Catalog {
    let mut catalog = Catalog::default();
    let route = json!({ "host": "h", "prefix": prefix, "service": "s0" });
    let patch = json!({ "services": { "s0": {} }, "routes": { "r0": route } });
    let submission =
        Submission { patch: patch.to_string(), at_head: true, ..Submission::default() };
    catalog.apply(&submission);
    catalog
}

// A full update with other content of the same version reached the document, but not the view that calls use.
#[test]
fn same_version_replaced() {
    let (old, new) = (catalog_with_route("/old"), catalog_with_route("/new"));
    let (table, changed) = (TargetTable::default(), BTreeSet::new());
    let mut document = old.current().clone();
    let mut view = RoutingView::default();
    view.update(&document, &table, &changed);
    let update = new.current().full_update(&Subscription::All);
    let outcome = document.apply(&update, &Subscription::All).expect("the update is valid");
    assert_eq!(outcome, ApplyOutcome::Applied);
    view.update(&document, &table, &changed);
    assert_eq!(view.router(), &Router::new(new.current().document()));
}
