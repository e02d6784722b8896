//! Arbitrary input as a patch: no panic, no partial application, and no accepted patch leaves a dangling reference.

use kingcuplift_config::{Catalog, Outcome, Patch, Submission};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rstest::rstest;
use serde_json::{Value, json};

/// Seed of the random patches.
const SEED: u64 = 7_386;

fn submit(catalog: &mut Catalog, operation: &str, patch: String) -> Outcome {
    catalog.apply(&Submission {
        operation: operation.to_owned(),
        at_head: true,
        patch,
        ..Submission::default()
    })
}

/// JSON values that resemble patches, with faults of every kind.
fn patch_like() -> impl Strategy<Value = Value> {
    let word = prop::sample::select(vec![
        "services",
        "routes",
        "priorities",
        "moves",
        "zones",
        "host",
        "prefix",
        "service",
        "rank",
        "slots",
        "state",
        "in",
        "out",
        "a",
        "b",
        "",
        "x y",
        "from",
        "to",
        "share",
        "deadline",
        "/",
    ]);
    let leaf = prop_oneof![
        Just(Value::Null),
        any::<bool>().prop_map(Value::from),
        any::<i64>().prop_map(Value::from),
        (0..5_u8).prop_map(Value::from),
        word.clone().prop_map(Value::from),
    ];
    leaf.prop_recursive(4, 40, 5, move |inner| {
        prop_oneof![
            1 => prop::collection::vec(inner.clone(), 0..3).prop_map(Value::from),
            6 => prop::collection::btree_map(word.clone(), inner, 0..5).prop_map(|fields| {
                Value::Object(fields.into_iter().map(|(k, v)| (k.to_owned(), v)).collect())
            }),
        ]
    })
}

fn submit_initial(catalog: &mut Catalog) {
    let patch = json!({
        "services": { "a": {}, "b": {} },
        "priorities": { "a": { "rank": 1 } },
        "routes": { "a": { "host": "a", "service": "a", "priority": "a" } },
    });
    assert!(matches!(submit(catalog, "first", patch.to_string()), Outcome::Accepted(_)));
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 5_000,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn any_text_is_parsed_without_panic(text in "\\PC{0,200}") {
        drop(Patch::parse(&text));
    }

    #[test]
    fn any_bytes_are_parsed_without_panic(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        drop(Patch::parse(&String::from_utf8_lossy(&bytes)));
    }

    #[test]
    fn accepted_patch_is_consistent(patches in prop::collection::vec(patch_like(), 1..6)) {
        let mut catalog = Catalog::default();
        submit_initial(&mut catalog);
        for (number, patch) in patches.iter().enumerate() {
            let before = (catalog.head(), catalog.current().document().to_json());
            let outcome = submit(&mut catalog, &number.to_string(), patch.to_string());
            match outcome {
                Outcome::Accepted(version) => prop_assert_eq!(version, before.0.next()),
                Outcome::Refused { faults, .. } => {
                    prop_assert!(!faults.is_empty());
                    prop_assert_eq!(catalog.head(), before.0);
                    prop_assert_eq!(catalog.current().document().to_json(), before.1);
                }
            }
            for (key, stored) in catalog.current().document().iter() {
                for referenced in stored.resource.references() {
                    prop_assert!(catalog.current().document().contains(&referenced), "{} -> {}", key, referenced);
                }
            }
        }
    }
}

#[rstest]
#[case::unknown_kind(json!({ "colours": {} }), &[(2_002, "colours")])]
#[case::unknown_field(json!({ "services": { "c": { "size": 1 } } }), &[(2_003, "services/c/size")])]
#[case::wrong_type(json!({ "services": { "c": { "slots": "x" } } }), &[(2_004, "services/c/slots")])]
#[case::missing_service(json!({ "routes": { "c": { "host": "c" } } }), &[(2_005, "routes/c/service")])]
#[case::bad_number(json!({ "services": { "c": { "slots": 0 } } }), &[(2_006, "services/c/slots")])]
#[case::dangling_reference(
    json!({ "routes": { "c": { "host": "c", "service": "z" } } }),
    &[(2_007, "routes/c")]
)]
#[case::still_referenced(json!({ "services": { "a": null } }), &[(2_007, "services/a")])]
#[case::duplicate_route(
    json!({ "routes": { "c": { "host": "A", "service": "a" } } }),
    &[(2_006, "routes/c")]
)]
#[case::duplicate_move(
    json!({ "moves": {
        "m": { "service": "a", "from": "v1", "to": "v2", "deadline": "2026-12-04T18:00:00Z" },
        "n": { "service": "a", "from": "v1", "to": "v3", "deadline": "2026-12-04T18:00:00Z" },
    } }),
    &[(2_006, "moves/n")]
)]
#[case::several_faults(
    json!({ "services": { "c": { "slots": 0, "size": 1 } }, "zones": { "z": { "state": "up" } } }),
    &[(2_006, "services/c/slots"), (2_003, "services/c/size"), (2_006, "zones/z/state")]
)]
#[case::too_deep(json!({ "a": [[[[[[[[[1]]]]]]]]] }), &[(2_009, "")])]
fn every_fault_is_listed(#[case] patch: Value, #[case] expected: &[(u16, &str)]) {
    let mut catalog = Catalog::default();
    submit_initial(&mut catalog);
    let Outcome::Refused { faults, .. } = submit(&mut catalog, "faulty", patch.to_string()) else {
        panic!("the patch was accepted");
    };
    for (code, path) in expected {
        let found = faults.iter().any(|fault| fault.code == *code && fault.path == *path);
        assert!(found, "{code} at {path} is missing: {faults:?}");
    }
}

#[test]
fn oversized_patch_is_rejected() {
    let text = format!("{{\"services\": {{}}, \"x\": \"{}\"}}", "x".repeat(5 << 20));
    let faults = Patch::parse(&text).expect_err("the patch is too large");
    assert_eq!(faults.0[0].code, 2_008);
}
