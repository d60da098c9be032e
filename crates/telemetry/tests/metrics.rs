//! Metrics arrive at the statsd server under their documented names.

use std::net::UdpSocket;
use std::sync::Arc;
use std::time::Duration;

use eelgrassrock_config::settings;
use eelgrassrock_telemetry::metrics::{Counter, Gauge, Metrics, Tag, Timer};
use rstest::rstest;

const RECEIVE_TIMEOUT: Duration = Duration::from_secs(30);

#[rstest]
fn metrics_reach_the_server() {
    let server = UdpSocket::bind("127.0.0.1:0").unwrap();
    server.set_read_timeout(Some(RECEIVE_TIMEOUT)).unwrap();
    let settings = settings::Metrics {
        statsd: Some(server.local_addr().unwrap()),
        prefix: Arc::from("eel"),
    };
    let metrics = Metrics::new(&settings).unwrap();
    metrics.count(Counter::RequestsDone, 2, &[Tag::Partner("brokers")]);
    metrics.gauge(Gauge::Homes, 3, &[]);
    metrics.time(
        Timer::Request,
        Duration::from_millis(9),
        &[Tag::Upstream("lookup-1")],
    );
    drop(metrics);
    let mut buffer = [0; 1_024];
    let length = server.recv(&mut buffer).unwrap();
    let text = std::str::from_utf8(&buffer[..length]).unwrap();
    let lines: Vec<&str> = text.lines().collect();
    assert_eq!(
        lines,
        [
            "eel.requests.done:2|c|#partner:brokers",
            "eel.ownership.homes:3|g",
            "eel.requests.time:9|ms|#upstream:lookup-1",
        ]
    );
}

#[rstest]
fn every_metric_is_documented() {
    let root = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/METRICS.md");
    let page = std::fs::read_to_string(root).unwrap();
    let counters = Counter::ALL.iter().map(|counter| counter.name());
    let gauges = Gauge::ALL.iter().map(|gauge| gauge.name());
    let timers = Timer::ALL.iter().map(|timer| timer.name());
    let names = counters.chain(gauges).chain(timers);
    let absent: Vec<&str> = names
        .filter(|name| !page.contains(&format!("`{name}`")))
        .collect();
    assert_eq!(absent, Vec::<&str>::new());
}
