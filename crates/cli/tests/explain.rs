//! `explain` finds the attempts of a request and the events that may have caused its answer.

use eelgrassrock_cli::output::Exit;
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

async fn explain(id: &str) -> eelgrassrock_cli::output::Output {
    let file = tempfile::NamedTempFile::new().unwrap();
    std::fs::write(file.path(), LINES).unwrap();
    run(["eelgrassrock", "explain", id, file.path().to_str().unwrap()]).await
}

#[tokio::test]
async fn report_lists_attempts_and_preceding_events() {
    let output = explain("abc").await;
    assert_eq!(output.exit, Exit::Done);
    for part in [
        "request abc at router-1: route read, service sheets, key 42",
        "answered 502 (unknown) after 45 of 900 ms, under configuration 7",
        "3 ms  sent to up-1: broken after 40 ms, map 17",
        "it is unknown whether it has run",
        "router-1 upstream paused",
        "router-2 release",
        "router-1 store restored",
        "router-1 upstream deferred",
        "router-1 answer cut",
    ] {
        assert!(
            output.stdout.contains(part),
            "{part:?} is missing in\n{}",
            output.stdout
        );
    }
    // Events of other routers, keys, upstreams and requests are left out.
    assert!(!output.stdout.contains("router-2 upstream paused"));
    assert!(!output.stdout.contains("from=100"));
    assert!(!output.stdout.contains("up-9"));
    assert!(!output.stdout.contains("router-2 store restored"));
    assert!(!output.stdout.contains("up-2"));
    assert!(!output.stdout.contains("broke off"));
}

#[tokio::test]
async fn unknown_request_is_refused() {
    let output = explain("xyz").await;
    assert_eq!(output.exit, Exit::Refused);
    assert!(output.stderr.contains("no log line for request xyz"));
}
