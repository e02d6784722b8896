//! Full configurations replace services, routes and limits, by compare-and-set on the operator's number.

use kingcuplift_config::{CanonicalCache, Catalog, Outcome, Revision, RevisionBody, Submission};
use kingcuplift_core::ResultCode;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rstest::rstest;
use serde_json::{Map, Value, json};

/// Seed of the random configurations.
const SEED: u64 = 20_261_204;

fn service(warmup: u64) -> Value {
    json!({ "health": "/health", "connections": 120, "protocol": "h1", "tls": false,
        "warmup_s": warmup, "warmup_rate": 47.0 })
}

fn route(prefix: &str, service: &str) -> Value {
    json!({ "host": "a.example", "prefix": prefix, "semantics": "idempotent", "timeout_ms": 1200,
        "objective_ms": 200, "rank": 2, "attempts": 2, "service": service })
}

fn full_config(number: u64, routes: Value) -> Value {
    json!({ "version": number, "services": { "desk": service(3), "roster": service(4) },
        "routes": routes, "limits": { "header_bytes": 16_384, "idle_ms": 15_000 } })
}

fn first_routes() -> Value {
    json!({ "r-1": route("/a/", "desk"), "r-2": route("/b/", "roster") })
}

fn submission(catalog: &Catalog, after: u64, text: &str) -> Submission {
    submission_with(&mut CanonicalCache::default(), catalog, after, text)
}

fn submission_with(
    cache: &mut CanonicalCache,
    catalog: &Catalog,
    after: u64,
    text: &str,
) -> Submission {
    let body = RevisionBody::parse(text.as_bytes()).expect("a readable configuration");
    let document = catalog.current().document();
    let submission = body.submission(after, text.as_bytes(), catalog.revision(), document, cache);
    submission.expect("a readable configuration")
}

fn submit(catalog: &mut Catalog, after: u64, document: &Value) -> Outcome {
    let submission = submission(catalog, after, &document.to_string());
    catalog.apply(&submission)
}

fn read_back(catalog: &Catalog) -> Value {
    let text = catalog.revision().to_json(catalog.current().document());
    serde_json::from_str(&text).expect("JSON")
}

fn code(outcome: &Outcome) -> Option<ResultCode> {
    match outcome {
        Outcome::Accepted(_) => None,
        Outcome::Refused { code, .. } => Some(*code),
    }
}

#[test]
fn revision_is_read_back_unchanged() {
    let mut catalog = Catalog::default();
    let first = full_config(4, first_routes());
    assert_eq!(code(&submit(&mut catalog, 0, &first)), None);
    assert_eq!(read_back(&catalog), first);
    let second = full_config(9, json!({ "r-3": route("/c/", "desk") }));
    assert_eq!(code(&submit(&mut catalog, 4, &second)), None);
    assert_eq!(read_back(&catalog), second, "routes that the second one lacks are removed");
    let restored = Catalog::decode(&catalog.encode()).expect("the state is valid");
    assert_eq!(read_back(&restored), second);
}

#[test]
fn one_of_two_concurrent_revisions_wins() {
    let mut catalog = Catalog::default();
    submit(&mut catalog, 0, &full_config(4, first_routes()));
    let first = submission(&catalog, 4, &full_config(5, json!({})).to_string());
    let second = submission(
        &catalog,
        4,
        &full_config(5, json!({ "r-9": route("/z/", "desk") })).to_string(),
    );
    assert_eq!(code(&catalog.apply(&first)), None);
    assert_eq!(code(&catalog.apply(&second)), Some(ResultCode::RevisionConflict));
    assert_eq!(read_back(&catalog)["routes"], json!({}), "the rejected revision has no effect");
}

#[test]
fn resend_gets_first_outcome() {
    let mut catalog = Catalog::default();
    let first = full_config(4, first_routes());
    let outcome = submit(&mut catalog, 0, &first);
    submit(&mut catalog, 4, &full_config(5, json!({})));
    assert_eq!(submit(&mut catalog, 0, &first), outcome, "even after a later revision");
    assert_eq!(catalog.revision().number, 5);
}

/// A confirmed configuration that was sent again with other spaces was refused, as if another one were active.
#[test]
fn resend_may_be_spelled_differently() {
    let mut catalog = Catalog::default();
    let first = full_config(4, first_routes());
    let accepted = submit(&mut catalog, 0, &first);
    let resend = submission(&catalog, 0, &format!("{first:#}"));
    assert_eq!(catalog.active_outcome(&resend), Some(accepted));
    let other_number = submission(&catalog, 0, &full_config(5, first_routes()).to_string());
    assert_eq!(catalog.active_outcome(&other_number), None);
    let other_routes = submission(&catalog, 0, &full_config(4, json!({})).to_string());
    assert_eq!(catalog.active_outcome(&other_routes), None);
    let other_base = submission(&catalog, 4, &first.to_string());
    assert_eq!(catalog.active_outcome(&other_base), None);
    submit(&mut catalog, 4, &full_config(9, json!({})));
    let late = submission(&catalog, 0, &format!("{first:#}"));
    assert_eq!(catalog.active_outcome(&late), None, "another change was made since");
}

#[test]
fn number_must_increase() {
    let mut catalog = Catalog::default();
    submit(&mut catalog, 0, &full_config(4, first_routes()));
    for number in [3, 4] {
        let outcome = submit(&mut catalog, 4, &full_config(number, json!({})));
        assert_eq!(code(&outcome), Some(ResultCode::RevisionStale), "{number}");
    }
}

#[test]
fn zones_and_moves_are_kept() {
    let mut catalog = Catalog::default();
    submit(&mut catalog, 0, &full_config(4, first_routes()));
    let patch = json!({ "zones": { "a": { "state": "out" } },
        "moves": { "desk": { "service": "desk", "to": "v1", "state": "done" },
            "roster": { "service": "roster", "to": "v1", "state": "done" } } });
    let patch = Submission {
        operation: "own".to_owned(),
        at_head: true,
        patch: patch.to_string(),
        ..Submission::default()
    };
    assert_eq!(code(&catalog.apply(&patch)), None);
    let mut second = full_config(5, json!({ "r-1": route("/a/", "desk") }));
    second["services"] = json!({ "desk": service(3) });
    assert_eq!(code(&submit(&mut catalog, 4, &second)), None, "a move is removed with its service");
    let document = catalog.current().document().to_json();
    assert_eq!(document["zones"]["a"]["state"], "out");
    assert_eq!(document["moves"]["desk"]["to"], "v1");
    assert_eq!(document["moves"].get("roster"), None);
}

#[rstest]
#[case::unknown_service(json!({ "r-1": route("/a/", "nobody") }))]
#[case::duplicate_route(json!({ "r-1": route("/a/", "desk"), "r-2": route("/a/", "desk") }))]
#[case::zero_timeout(json!({ "r-1": { "host": "a.example", "prefix": "/a/", "service": "desk", "timeout_ms": 0 } }))]
#[case::unknown_semantics(json!({ "r-1": { "host": "a.example", "prefix": "/a/", "service": "desk", "semantics": "odd" } }))]
#[case::negative_weight(json!({ "r-1": { "host": "a.example", "prefix": "/a/",
    "split": [{ "service": "desk", "weight": -1 }, { "service": "roster", "weight": 2 }] } }))]
fn invalid_revision_is_rejected(#[case] routes: Value) {
    let mut catalog = Catalog::default();
    let first = full_config(4, first_routes());
    submit(&mut catalog, 0, &first);
    let outcome = submit(&mut catalog, 4, &full_config(5, routes));
    let number = code(&outcome).map_or(0, ResultCode::number);
    assert!((2_001..=2_009).contains(&number), "{outcome:?}");
    assert_eq!(read_back(&catalog), first);
}

/// Only the text of a resource is read at first; its content is checked once it is needed.
#[rstest]
#[case::large_number(r#"{"timeout_ms": 1e999}"#)]
#[case::deep_nesting(&format!("{}{}", "[".repeat(200), "]".repeat(200)))]
fn unreadable_resource_is_rejected(#[case] route: &str) {
    let text = full_config(4, json!({ "r-1": "ROUTE" })).to_string().replace("\"ROUTE\"", route);
    let (catalog, mut cache) = (Catalog::default(), CanonicalCache::default());
    let submission = RevisionBody::parse(text.as_bytes()).and_then(|body| {
        let document = catalog.current().document();
        body.submission(0, text.as_bytes(), catalog.revision(), document, &mut cache)
    });
    let faults = submission.expect_err("the route can't be read");
    assert_eq!(faults.0[0].code, ResultCode::PatchMalformed.number());
}

#[test]
fn truncated_revision_is_rejected() {
    let text = full_config(4, first_routes()).to_string();
    for length in [0, 1, text.len() / 2, text.len() - 1] {
        assert!(RevisionBody::parse(&text.as_bytes()[..length]).is_err(), "{length}");
    }
}

fn any_route() -> impl Strategy<Value = Value> {
    let split = prop::collection::vec((0..3_u8, 0..100_u32), 1..3);
    (1..2_000_u32, prop::option::of(1..500_u32), split, any::<bool>()).prop_map(
        |(timeout, objective, split, single)| {
            let name = |n: u8| ["desk", "roster", "hall"][usize::from(n)];
            let mut route = json!({ "host": "a.example", "timeout_ms": timeout });
            if let Some(objective) = objective {
                route["objective_ms"] = objective.into();
            }
            match single {
                true => route["service"] = name(split[0].0).into(),
                false => {
                    let parts = split.iter().map(|(service, weight)| {
                        json!({ "service": name(*service), "weight": weight + 1 })
                    });
                    route["split"] = parts.collect();
                }
            }
            route
        },
    )
}

fn any_full_config() -> impl Strategy<Value = Value> {
    prop::collection::btree_map(0..12_u8, any_route(), 0..8).prop_map(|routes| {
        let routes: Map<String, Value> = routes
            .into_iter()
            .map(|(number, mut route)| {
                route["prefix"] = format!("/{number}/").into();
                (format!("r-{number}"), route)
            })
            .collect();
        json!({ "services": { "desk": service(1), "roster": service(2), "hall": {} },
            "routes": routes, "limits": { "idle_ms": 1_000 } })
    })
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 200,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// After any sequence of full configurations, exactly the last one is active; what is known of earlier ones only
    /// saves time.
    #[test]
    fn last_revision_is_active(revisions in prop::collection::vec(any_full_config(), 1..8)) {
        let (mut catalog, mut cache) = (Catalog::default(), CanonicalCache::default());
        for (i, mut document) in revisions.into_iter().enumerate() {
            let active = Revision { number: catalog.revision().number, ..catalog.revision() };
            document["version"] = (active.number + 1 + i as u64).into();
            let text = document.to_string();
            let submission = submission_with(&mut cache, &catalog, active.number, &text);
            prop_assert_eq!(&submission, &self::submission(&catalog, active.number, &text));
            let outcome = catalog.apply(&submission);
            prop_assert!(matches!(outcome, Outcome::Accepted(_)), "{outcome:?}");
            prop_assert_eq!(read_back(&catalog), document);
        }
    }
}
