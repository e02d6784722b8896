//! Full configurations that must be refused, and odd ones that must not.

use kingcuplift_config::{CanonicalCache, Catalog, Outcome, RevisionBody};
use kingcuplift_core::Faults;
use rstest::rstest;
use serde_json::{Value, json};

/// A valid configuration, as text; tests replace parts of it.
const VALID: &str = r#"{"version":7,"services":{"desk":{"health":"/health","connections":120,"protocol":"h1","tls":false,"warmup_s":3.0,"warmup_rate":47.0},"roster":{}},"routes":{"r-1":{"host":"a.example","prefix":"/a/","semantics":"idempotent","timeout_ms":1200,"objective_ms":200,"rank":2,"attempts":2,"split":[{"service":"desk","weight":90},{"service":"roster","weight":10}]},"r-2":{"host":"a.example","prefix":"/b/","semantics":"at_most_once","timeout_ms":800,"service":"desk"}},"limits":{"header_bytes":16384,"body_bytes":67108864,"header_ms":3000,"idle_ms":15000}}"#;

fn submit(catalog: &mut Catalog, after: u64, text: &[u8]) -> Result<Outcome, Faults> {
    let mut cache = CanonicalCache::default();
    let body = RevisionBody::parse(text)?;
    let document = catalog.current().document();
    let submission = body.submission(after, text, catalog.revision(), document, &mut cache)?;
    Ok(catalog.apply(&submission))
}

fn is_accepted(result: &Result<Outcome, Faults>) -> bool {
    matches!(result, Ok(Outcome::Accepted(_)))
}

/// Returns a catalog whose full configuration has the number 5.
fn catalog() -> Catalog {
    let mut catalog = Catalog::default();
    let first = json!({ "version": 5, "services": { "desk": {} }, "routes": {} });
    assert!(is_accepted(&submit(&mut catalog, 0, first.to_string().as_bytes())));
    catalog
}

fn read_back(catalog: &Catalog) -> Value {
    let text = catalog.revision().to_json(catalog.current().document());
    serde_json::from_str(&text).expect("JSON")
}

#[rstest]
#[case::unknown_service(r#""service":"desk""#, r#""service":"nobody""#)]
#[case::unknown_service_in_split(r#""service":"roster""#, r#""service":"nobody""#)]
#[case::no_service(r#","service":"desk""#, "")]
#[case::empty_split(r#""service":"desk"}"#, r#""split":[]}"#)]
#[case::split_without_service(r#"{"service":"roster","weight":10}"#, r#"{"weight":10}"#)]
#[case::split_is_an_object(
    r#"[{"service":"desk","weight":90},{"service":"roster","weight":10}]"#,
    r#"{"desk":90,"roster":10}"#
)]
#[case::negative_weight(r#""weight":10"#, r#""weight":-0.001"#)]
#[case::weights_of_zero(
    r#""weight":90},{"service":"roster","weight":10"#,
    r#""weight":0},{"service":"roster","weight":0.0"#
)]
#[case::weight_as_text(r#""weight":10"#, r#""weight":"10""#)]
#[case::same_prefix("/b/", "/a/")]
#[case::same_prefix_escaped("/b/", "\\u002fa\\/")]
#[case::same_host_in_capitals(r#"a.example","prefix":"/b/""#, r#"A.Example","prefix":"/a/""#)]
#[case::timeout_of_zero("1200", "0")]
#[case::timeout_of_negative_zero("1200", "-0.0")]
#[case::timeout_of_tiny_exponent("1200", "0e5")]
#[case::negative_timeout("1200", "-1200")]
#[case::timeout_not_a_number("1200", "NaN")]
#[case::timeout_infinite("1200", "Infinity")]
#[case::timeout_out_of_range("1200", "1e999")]
#[case::timeout_as_text("1200", r#""1200""#)]
#[case::timeout_as_list("1200", "[1200]")]
#[case::timeout_as_flag("1200", "true")]
#[case::unknown_semantics(r#""idempotent""#, r#""Idempotent""#)]
#[case::empty_semantics(r#""idempotent""#, r#""""#)]
#[case::semantics_as_number(r#""idempotent""#, "1")]
#[case::fractional_attempts(r#""attempts":2"#, r#""attempts":2.5"#)]
#[case::negative_rank(r#""rank":2"#, r#""rank":-1"#)]
#[case::prefix_without_slash("/b/", "b/")]
#[case::no_host(r#""host":"a.example","prefix":"/b/""#, r#""prefix":"/b/""#)]
#[case::route_is_null(
    r#"{"host":"a.example","prefix":"/b/","semantics":"at_most_once","timeout_ms":800,"service":"desk"}"#,
    "null"
)]
#[case::route_is_a_list(
    r#"{"host":"a.example","prefix":"/b/","semantics":"at_most_once","timeout_ms":800,"service":"desk"}"#,
    "[]"
)]
#[case::routes_are_a_list(r#""services":{"#, r#""routes":[],"services":{"#)]
#[case::number_in_force(r#""version":7"#, r#""version":5"#)]
#[case::number_of_zero(r#""version":7"#, r#""version":0"#)]
#[case::negative_number(r#""version":7"#, r#""version":-7"#)]
#[case::fractional_number(r#""version":7"#, r#""version":7.5"#)]
#[case::number_as_text(r#""version":7"#, r#""version":"7""#)]
#[case::number_too_large(r#""version":7"#, r#""version":18446744073709551616"#)]
#[case::number_twice(r#""version":7"#, r#""version":7,"version":8"#)]
#[case::no_number(r#""version":7,"#, "")]
#[case::no_routes(r#""routes""#, r#""other""#)]
#[case::route_twice(r#""r-2""#, r#""r-1""#)]
#[case::route_twice_escaped(r#""r-2""#, r#""\u0072-1""#)]
#[case::service_twice(r#""roster":{}"#, r#""roster":{},"desk":{}"#)]
#[case::field_twice(r#""timeout_ms":1200"#, r#""timeout_ms":0,"timeout_ms":1200"#)]
#[case::weight_twice(r#""weight":10"#, r#""weight":-1,"weight":10"#)]
#[case::limit_twice(r#""idle_ms":15000"#, r#""idle_ms":15000,"idle_ms":0"#)]
#[case::limits_of_zero(r#""idle_ms":15000"#, r#""idle_ms":0"#)]
#[case::trailing_bytes(r#""idle_ms":15000}}"#, r#""idle_ms":15000}}x"#)]
#[case::two_documents(r#""idle_ms":15000}}"#, r#""idle_ms":15000}}{}"#)]
#[case::trailing_comma(r#""idle_ms":15000}}"#, r#""idle_ms":15000},}"#)]
#[case::control_character("a.example", "a\n.example")]
fn invalid_revision_is_refused(#[case] part: &str, #[case] replacement: &str) {
    let text = VALID.replacen(part, replacement, 1);
    assert_ne!(text, VALID, "the part is replaced");
    let mut catalog = catalog();
    let before = read_back(&catalog);
    let result = submit(&mut catalog, 5, text.as_bytes());
    assert!(!is_accepted(&result), "{result:?}");
    assert_eq!(read_back(&catalog), before);
}

#[test]
fn text_cut_off_anywhere_is_refused() {
    for length in 0..VALID.len() {
        let result = submit(&mut catalog(), 5, &VALID.as_bytes()[..length]);
        assert!(!is_accepted(&result), "{length} bytes: {result:?}");
    }
}

#[test]
fn bytes_that_are_no_text_are_refused() {
    for at in [1, 20, VALID.len() / 2, VALID.len() - 1] {
        let mut bytes = VALID.as_bytes().to_vec();
        bytes[at] = 0xff;
        let result = submit(&mut catalog(), 5, &bytes);
        assert!(!is_accepted(&result), "byte {at}: {result:?}");
    }
}

/// What operators may send is accepted, and read back as it was sent.
#[rstest]
#[case::plain("1200", "1200")]
#[case::next_number(r#""version":7"#, r#""version":6"#)]
#[case::large_number(r#""version":7"#, r#""version":9007199254740993"#)]
#[case::largest_number(r#""version":7"#, r#""version":18446744073709551615"#)]
#[case::weight_of_zero_in_one_part(r#""weight":10"#, r#""weight":0"#)]
#[case::fractional_weight(r#""weight":10"#, r#""weight":33.333333333333336"#)]
#[case::fractional_timeout("1200", "1000.9999999999999")]
#[case::timeout_of_many_digits("1200", "1137.0000000000002")]
#[case::short_timeout("1200", "1")]
#[case::one_service_twice_in_a_split(r#""service":"roster""#, r#""service":"desk""#)]
#[case::same_prefix_of_another_host(r#"a.example","prefix":"/b/""#, r#"b.example","prefix":"/a/""#)]
#[case::prefix_within_another("/b/", "/a/b/")]
#[case::prefix_of_all("/b/", "/")]
#[case::no_limits(
    r#","limits":{"header_bytes":16384,"body_bytes":67108864,"header_ms":3000,"idle_ms":15000}"#,
    ""
)]
fn valid_revision_is_accepted(#[case] part: &str, #[case] replacement: &str) {
    let text = VALID.replacen(part, replacement, 1);
    let mut catalog = catalog();
    let result = submit(&mut catalog, 5, text.as_bytes());
    assert!(is_accepted(&result), "{result:?}");
    let text_read = catalog.revision().to_json(catalog.current().document());
    let fields = |text: &str| {
        let mut fields: Vec<String> =
            text.split(['{', '}', ',', '[', ']']).map(str::to_owned).collect();
        fields.sort();
        fields
    };
    assert_eq!(fields(&text_read), fields(&text), "the text of each field is the same");
}
