//! Lookup of routes.

use eelgrassrock_dispatch::directory::{Directory, Limits, Part, Repeat, Route};
use indexmap::IndexMap;
use rstest::rstest;

fn route(host: &str, prefix: &str) -> Route {
    Route {
        name: format!("{host}{prefix}").into(),
        host: host.into(),
        prefix: prefix.into(),
        repeat: Repeat::Idempotent,
        timeout: None,
        target: None,
        priority: 1,
        max_attempts: 2,
        parts: vec![Part {
            service: "sheets".into(),
            weight: 1,
        }],
    }
}

fn directory(routes: impl IntoIterator<Item = Route>) -> Directory {
    Directory::new(1, routes, IndexMap::new(), Limits::default())
}

#[rstest]
#[case::exact("a.example", "/x/", Some("a.example/x/"))]
#[case::below("a.example", "/x/1/2", Some("a.example/x/"))]
#[case::longest("a.example", "/x/y/2", Some("a.example/x/y/"))]
#[case::not_at_a_slash("a.example", "/xy/2", None)]
#[case::without_the_last_slash("a.example", "/x", None)]
#[case::other_host("b.example", "/x/1", Some("b.example/x/"))]
#[case::only_at_other_host("b.example", "/x/y/2", Some("b.example/x/"))]
#[case::unknown_host("c.example", "/x/1", None)]
#[case::doubled_slash("a.example", "//x/1", None)]
#[case::characters_of_several_bytes("a.example", "/x/é/ü", Some("a.example/x/"))]
#[case::empty("a.example", "", None)]
fn the_longest_prefix_of_the_host_decides(
    #[case] host: &str,
    #[case] path: &str,
    #[case] expected: Option<&str>,
) {
    let routes = [
        ("a.example", "/x/"),
        ("a.example", "/x/y/"),
        ("b.example", "/x/"),
    ];
    let directory = directory(routes.map(|(host, prefix)| route(host, prefix)));
    let found = directory.route(host, path).map(|route| &*route.name);
    assert_eq!(found, expected);
}

/// A part without a weight gets no requests.
#[test]
fn the_priorities_of_a_service_are_those_of_the_routes_that_send_to_it() {
    let part = |service: &str, weight| Part {
        service: service.into(),
        weight,
    };
    let urgent = Route {
        priority: 0,
        parts: vec![part("sheets", 3), part("labels", 0)],
        ..route("a.example", "/x/")
    };
    let same = Route {
        priority: 0,
        ..route("a.example", "/z/")
    };
    let directory = directory([urgent, same, route("a.example", "/y/")]);
    assert_eq!(directory.priorities("sheets"), [0, 1]);
    assert!(directory.priorities("labels").is_empty());
}
