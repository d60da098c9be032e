//! Routing: the service, class and key that are found for a request.

mod support;

use eelgrassrock_config::key::{MAX_KEY_BYTES, Refusal as KeyRefusal};
use eelgrassrock_config::route::{Match, Refusal};
use eelgrassrock_model::Name;
use http::{HeaderMap, HeaderValue, Method, Uri};
use rstest::rstest;
use support::bundle;

fn route(method: Method, uri: &str, headers: &HeaderMap) -> Result<Match, Refusal> {
    let uri: Uri = uri.parse().unwrap();
    bundle(1).route(&method, &uri, headers)
}

#[rstest]
#[case::segment("/lookups/acetone", "lookup", "acetone")]
#[case::longer("/lookups/acetone/hazards", "lookup", "acetone")]
#[case::with_query("/lookups/acetone?lang=rw", "lookup", "acetone")]
#[case::decoded("/lookups/ethyl%20acetate", "lookup", "ethyl acetate")]
#[case::encoded_letter("/lookups/%61cetone", "lookup", "acetone")]
#[case::plus_in_path("/lookups/a+b", "lookup", "a+b")]
#[case::encoded_prefix("/%6cookups/acetone", "lookup", "acetone")]
#[case::longest_prefix("/lookups/special?departure=7", "manifest", "7")]
#[case::whole_segments("/lookups/specials", "lookup", "specials")]
#[case::query_plus("/lookups/special?x=1&departure=a+b%2Bc", "manifest", "a b+c")]
fn request_has_service_and_key(#[case] uri: &str, #[case] service: &str, #[case] key: &str) {
    let matched = route(Method::GET, uri, &HeaderMap::new()).unwrap();
    assert_eq!(matched.service.as_str(), service);
    assert_eq!(matched.key, key.as_bytes());
}

#[rstest]
#[case::no_key("/lookups", KeyRefusal::Absent)]
#[case::empty_segment("/lookups//acetone", KeyRefusal::Path)]
#[case::slash_at_end("/lookups/", KeyRefusal::Path)]
#[case::dot_segments("/lookups/../holds", KeyRefusal::Path)]
#[case::encoded_dot_segments("/lookups/%2e%2e/holds", KeyRefusal::Path)]
#[case::invalid_escape("/lookups/%zz", KeyRefusal::Encoding)]
#[case::truncated_escape("/lookups/a%2", KeyRefusal::Encoding)]
#[case::no_parameter("/lookups/special?arrival=7", KeyRefusal::Absent)]
#[case::empty_parameter("/lookups/special?departure=", KeyRefusal::Absent)]
#[case::two_parameters("/lookups/special?departure=7&departure=8", KeyRefusal::Repeated)]
#[case::encoded_second_parameter(
    "/lookups/special?departure=7&%64eparture=8",
    KeyRefusal::Repeated
)]
fn ambiguous_key_is_refused(#[case] uri: &str, #[case] refusal: KeyRefusal) {
    let found = route(Method::GET, uri, &HeaderMap::new());
    assert_eq!(found, Err(Refusal::Key(refusal)));
}

#[rstest]
#[case::none(&[], Err(KeyRefusal::Absent))]
#[case::one(&["d7"], Ok("d7"))]
#[case::padded(&[" d7\t"], Ok("d7"))]
#[case::blank(&["  "], Err(KeyRefusal::Absent))]
#[case::two(&["d7", "d8"], Err(KeyRefusal::Repeated))]
fn key_in_header(#[case] values: &[&'static str], #[case] expected: Result<&str, KeyRefusal>) {
    let mut headers = HeaderMap::new();
    for value in values {
        headers.append("X-Departure", HeaderValue::from_static(value));
    }
    let found = route(Method::POST, "/holds", &headers).map(|matched| matched.key);
    let expected = expected
        .map(|key| key.as_bytes().to_vec())
        .map_err(Refusal::Key);
    assert_eq!(found, expected);
}

#[rstest]
fn key_length_is_limited() {
    let long = "k".repeat(MAX_KEY_BYTES);
    let fits = route(Method::GET, &format!("/lookups/{long}"), &HeaderMap::new());
    assert_eq!(fits.unwrap().key.len(), MAX_KEY_BYTES);
    let over = route(Method::GET, &format!("/lookups/{long}k"), &HeaderMap::new());
    assert_eq!(over, Err(Refusal::Key(KeyRefusal::TooLong)));
}

#[rstest]
#[case::other_path(Method::GET, "/sheets/1", Refusal::Path)]
#[case::partial_segment(Method::GET, "/lookupsandmore/1", Refusal::Path)]
#[case::root(Method::GET, "/", Refusal::Path)]
#[case::method(Method::PUT, "/lookups/1", Refusal::Method { allowed: vec![Method::GET, Method::POST] })]
#[case::shadowed(Method::POST, "/lookups/special", Refusal::Method { allowed: vec![Method::GET] })]
fn unknown_route_is_refused(#[case] method: Method, #[case] uri: &str, #[case] refusal: Refusal) {
    assert_eq!(route(method, uri, &HeaderMap::new()), Err(refusal));
}
