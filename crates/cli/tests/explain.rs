//! From the identifier of a request to its cause.

use eelgrassrock_cli::answer::Exit;
use eelgrassrock_cli::run;

const LINES: &str = r#"
router-1 {"time":1000,"level":"info","event":"upstream lapsed","upstream":"up-9","service":"sheets"}
router-1 {"time":5000,"level":"info","event":"upstream paused","service":"sheets","upstream":"up-1","failures":2,"pause_ms":250}
router-2 {"time":5100,"level":"info","event":"upstream paused","service":"sheets","upstream":"up-1","failures":2,"pause_ms":250}
router-2 {"time":5200,"level":"info","event":"release","service":"sheets","upstream":"up-1","from":0,"to":99,"fence":4,"outcome":"done"}
router-2 {"time":5250,"level":"info","event":"release","service":"sheets","upstream":"up-1","from":100,"to":199,"fence":5,"outcome":"done"}
router-1 {"time":5300,"level":"warn","event":"store restored","before":1,"after":2,"duties":["sheets"]}
router-2 {"time":5300,"level":"warn","event":"store restored","before":1,"after":2,"duties":[]}
router-1 {"time":5400,"level":"info","event":"upstream deferred","service":"sheets","upstream":"up-1","pause_ms":700}
router-1 {"time":5450,"level":"info","event":"upstream deferred","service":"sheets","upstream":"up-2","pause_ms":700}
not a line
router-1 {"time":6000,"level":"info","event":"request","id":"abc","route":"read","service":"sheets","key":42,"outcome":"unknown","status":502,"upstream":"up-1","runs":1,"sends":[{"upstream":"up-1","at_ms":3,"elapsed_ms":40,"end":"broken","map":17}],"elapsed_ms":45,"allowed_ms":900,"configuration":7}
router-1 {"time":6900,"level":"info","event":"answer cut","id":"abc","service":"sheets","upstream":"up-1","reason":"the answer did not end in time"}
router-1 {"time":6900,"level":"info","event":"answer cut","id":"other","service":"sheets","upstream":"up-1","reason":"broke off"}
"#;

async fn explain(id: &str) -> eelgrassrock_cli::answer::Answer {
    let file = tempfile::NamedTempFile::new().unwrap();
    std::fs::write(file.path(), LINES).unwrap();
    run(["eelgrassrock", "explain", id, file.path().to_str().unwrap()]).await
}

#[tokio::test]
async fn the_story_has_the_sends_and_what_went_before() {
    let answer = explain("abc").await;
    assert_eq!(answer.exit, Exit::Done);
    for part in [
        "request abc at router-1: route read, service sheets, key 42",
        "answered 502 (unknown) after 45 of 900 ms, under configuration 7",
        "3 ms  sent to up-1: broken after 40 ms, map 17",
        "whether it has run isn't known",
        "router-1 upstream paused",
        "router-2 release",
        "router-1 store restored",
        "router-1 upstream deferred",
        "router-1 answer cut",
    ] {
        assert!(
            answer.out.contains(part),
            "{part:?} is missing in\n{}",
            answer.out
        );
    }
    // Not the same router, not the same keys, not the same upstream.
    assert!(!answer.out.contains("router-2 upstream paused"));
    assert!(!answer.out.contains("from=100"));
    assert!(!answer.out.contains("up-9"));
    assert!(!answer.out.contains("router-2 store restored"));
    assert!(!answer.out.contains("up-2"));
    assert!(!answer.out.contains("broke off"));
}

#[tokio::test]
async fn an_unknown_request_is_said_to_be_unknown() {
    let answer = explain("xyz").await;
    assert_eq!(answer.exit, Exit::Refused);
    assert!(answer.err.contains("no line about the request xyz"));
}
