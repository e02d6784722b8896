//! Histories of versions that change many resources.

use kingcuplift_config::{CanonicalCache, Catalog, Outcome, RevisionBody, Subscription};
use kingcuplift_core::Version;
use serde_json::{Map, Value, json};

/// Routes that each version changes.
const ROUTES: u64 = 1_000;
/// Number of versions.
const VERSIONS: u64 = 30;
/// Size that a snapshot may have, in bytes; the configuration itself takes about a quarter of a megabyte.
const SNAPSHOT_LIMIT: usize = 8 << 20;

fn document(number: u64) -> Value {
    let route = |index: u64| {
        json!({ "host": "a.example", "prefix": format!("/{index}/"), "semantics": "idempotent",
            "timeout_ms": 1_000 + number, "objective_ms": 200, "rank": 2, "attempts": 2,
            "service": "desk" })
    };
    let routes: Map<String, Value> =
        (0..ROUTES).map(|index| (format!("r-{index}"), route(index))).collect();
    json!({ "version": number, "services": { "desk": { "connections": 120 } }, "routes": routes })
}

/// Applies the versions and returns the outcome of the last one.
fn fill(catalog: &mut Catalog, cache: &mut CanonicalCache, numbers: std::ops::RangeInclusive<u64>) {
    for number in numbers {
        let text = document(number).to_string();
        let body = RevisionBody::parse(text.as_bytes()).expect("a readable configuration");
        let (base, current) = (catalog.revision(), catalog.current().document());
        let submission = body.submission(base.number, text.as_bytes(), base, current, cache);
        let outcome = catalog.apply(&submission.expect("a readable configuration"));
        assert!(matches!(outcome, Outcome::Accepted(_)), "{outcome:?}");
    }
}

/// The previous content of all changed resources was kept for 10,000 versions, until the memory was used up.
#[test]
fn size_is_bounded() {
    let (mut catalog, mut cache) = (Catalog::default(), CanonicalCache::default());
    fill(&mut catalog, &mut cache, 1..=VERSIONS);
    let encoded = catalog.encode();
    assert!(encoded.len() < SNAPSHOT_LIMIT, "the snapshot takes {} bytes", encoded.len());
    let retained = catalog.versions_after(Version::default()).count();
    assert!((1..VERSIONS as usize).contains(&retained), "{retained} versions are retained");
    let changes = catalog.current().changes_since(Version::new(VERSIONS - 1));
    assert_eq!(changes.map(Iterator::count), Some(ROUTES as usize));
    assert!(catalog.current().changes_since(Version::new(1)).is_none());
    let update = catalog.current().update_since(Version::new(1), &Subscription::All, None);
    assert!(update.full, "a receiver that lags that far behind gets everything");
}

/// Members decide the same whether they have applied the log or restored a snapshot on the way.
#[test]
fn restored_catalog_is_equal() {
    let (mut catalog, mut cache) = (Catalog::default(), CanonicalCache::default());
    fill(&mut catalog, &mut cache, 1..=VERSIONS / 2);
    let mut restored = Catalog::decode(&catalog.encode()).expect("a valid snapshot");
    for catalog in [&mut catalog, &mut restored] {
        fill(catalog, &mut cache, VERSIONS / 2 + 1..=VERSIONS);
    }
    assert_eq!(catalog.encode(), restored.encode());
}
