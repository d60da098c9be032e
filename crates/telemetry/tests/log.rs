//! Log lines are JSON objects, one per line, and a stuck stream doesn't block the caller.

use std::io::{self, Write};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};

use eelgrassrock_telemetry::log::{Level, Logger};
use rstest::rstest;
use serde::Serialize;
use serde_json::{Value, json};

#[derive(Clone, Default)]
struct Memory(Arc<Mutex<Vec<u8>>>);

impl Memory {
    fn lines(&self) -> Vec<Value> {
        let bytes = self.0.lock().unwrap().clone();
        let text = String::from_utf8(bytes).unwrap();
        text.lines()
            .map(|line| serde_json::from_str(line).unwrap())
            .collect()
    }
}

impl Write for Memory {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
enum Decision {
    Routed {
        upstream: &'static str,
        reason: &'static str,
    },
}

#[rstest]
fn fields_are_members_of_one_line() {
    let memory = Memory::default();
    let logger = Logger::with_stream(memory.clone(), Level::Info).unwrap();
    logger.info(
        "routed",
        &json!({"shard": 7, "reason": "two\nlines \"quoted\" {}"}),
    );
    logger.flush();
    let lines = memory.lines();
    assert_eq!(lines.len(), 1);
    assert_eq!(lines[0]["event"], "routed");
    assert_eq!(lines[0]["level"], "info");
    assert!(lines[0]["time"].as_u64().unwrap() > 1_600_000_000_000);
    assert_eq!(lines[0]["shard"], 7);
    assert_eq!(lines[0]["reason"], "two\nlines \"quoted\" {}");
}

#[rstest]
#[case::empty(json!({}), json!(null))]
#[case::text(json!("plain"), json!("plain"))]
#[case::number(json!(5), json!(5))]
fn other_shapes_are_valid_json(#[case] fields: Value, #[case] value: Value) {
    let memory = Memory::default();
    let logger = Logger::with_stream(memory.clone(), Level::Info).unwrap();
    logger.info("shape", &fields);
    logger.flush();
    assert_eq!(memory.lines()[0]["value"], value);
}

#[rstest]
fn enum_keeps_its_variant() {
    let memory = Memory::default();
    let logger = Logger::with_stream(memory.clone(), Level::Info).unwrap();
    let decision = Decision::Routed {
        upstream: "lookup-1",
        reason: "owner",
    };
    logger.info("route", &decision);
    logger.flush();
    assert_eq!(memory.lines()[0]["routed"]["upstream"], "lookup-1");
}

#[rstest]
#[case(Level::Error, 1)]
#[case(Level::Warn, 2)]
#[case(Level::Info, 3)]
#[case(Level::Debug, 4)]
fn lines_below_the_level_are_left_out(#[case] level: Level, #[case] written: usize) {
    let memory = Memory::default();
    let logger = Logger::with_stream(memory.clone(), level).unwrap();
    for each in [Level::Error, Level::Warn, Level::Info, Level::Debug] {
        logger.log(each, "each", &json!({}));
        assert_eq!(logger.is_enabled(each), each <= level);
    }
    logger.flush();
    assert_eq!(memory.lines().len(), written);
}

/// Stream whose first write blocks until `release` gets a message.
struct StuckStream {
    entered: Sender<()>,
    release: Receiver<()>,
    open: bool,
    memory: Memory,
}

impl Write for StuckStream {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        if !self.open {
            self.entered.send(()).unwrap();
            self.release.recv().unwrap();
            self.open = true;
        }
        self.memory.write(bytes)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[rstest]
fn a_stuck_stream_drops_and_counts_lines() {
    const LINES: u64 = 10_000;
    let memory = Memory::default();
    let (entered, wait) = channel();
    let (free, release) = channel();
    let stuck = StuckStream {
        entered,
        release,
        open: false,
        memory: memory.clone(),
    };
    let logger = Logger::with_stream(stuck, Level::Info).unwrap();
    logger.info("first", &json!({}));
    wait.recv().unwrap();
    (0..LINES).for_each(|number| logger.info("line", &json!({ "number": number })));
    free.send(()).unwrap();
    drop(logger);
    let lines = memory.lines();
    let dropped = lines.iter().filter(|line| line["event"] == "log-dropped");
    let dropped: u64 = dropped.map(|line| line["lines"].as_u64().unwrap()).sum();
    let written = lines.iter().filter(|line| line["event"] == "line").count();
    assert!(dropped > 0);
    assert_eq!(dropped + u64::try_from(written).unwrap(), LINES);
}
