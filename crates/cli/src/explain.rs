//! `explain`: reconstructs from the log lines of the routers how a request was
//! handled.

use std::fmt::Write;
use std::fs::File;
use std::io::{self, BufRead, BufReader};
use std::path::PathBuf;

use serde::Deserialize;
use serde_json::Value;

use crate::output::Output;

/// Events up to this long before the arrival of a request may be the cause of its answer.
/// The window is meant to be longer than any lease or pause.
const WINDOW_MS: u64 = 10_000;
/// Shorter window for changes of the map, which are frequent.
const MAP_WINDOW_MS: u64 = 1_500;
/// Maximum number of events that are shown. The latest are shown, because they are the
/// closest to the answer.
const MAX_EVENTS: usize = 16;

/// Log line of a router.
struct LogLine {
    /// Name of the router, or of the file if the line has no router name.
    source: String,
    time: u64,
    event: String,
    fields: Value,
}

/// Fields of the log line that a router writes for a request.
#[derive(Deserialize)]
struct Request {
    route: String,
    service: String,
    key: Option<u64>,
    outcome: String,
    status: u16,
    elapsed_ms: u64,
    allowed_ms: u64,
    configuration: u64,
    sends: Vec<Attempt>,
}

/// One attempt to send the request to an upstream.
#[derive(Deserialize)]
struct Attempt {
    upstream: String,
    at_ms: u64,
    elapsed_ms: u64,
    end: String,
    map: u64,
}

/// Explains the request with the identifier `id`.
pub(crate) fn explain(id: &str, files: &[PathBuf]) -> Output {
    let lines = match read_lines(files) {
        Ok(lines) => lines,
        Err(error) => return Output::refused(error),
    };
    let request_lines: Vec<&LogLine> = lines
        .iter()
        .filter(|line| line.event == "request" && line.fields["id"] == id)
        .collect();
    if request_lines.is_empty() {
        return Output::refused(format!(
            "no log line for request {id}; successful requests are sampled, and lines beyond \
             the limit are dropped (look for `lines left out`)"
        ));
    }
    let mut report = String::new();
    for line in request_lines {
        match Request::deserialize(&line.fields) {
            Ok(request) => write_request(&mut report, id, line, &request, &lines),
            Err(error) => {
                return Output::refused(format!(
                    "the log line of request {id} can't be read: {error}"
                ));
            }
        }
    }
    Output::done(report.trim_end().to_owned())
}

/// Reads the log lines of all files, or of standard input if there are none, sorted by
/// time. Lines that aren't JSON objects with a time and an event are skipped, because
/// other programs may have written them.
fn read_lines(files: &[PathBuf]) -> Result<Vec<LogLine>, String> {
    let mut lines = Vec::new();
    if files.is_empty() {
        parse_lines(&mut lines, "", io::stdin().lock())
            .map_err(|error| format!("stdin: {error}"))?;
    }
    for path in files {
        let with_path = |error: io::Error| format!("{}: {error}", path.display());
        let file = File::open(path).map_err(with_path)?;
        let name = path
            .file_stem()
            .map(|name| name.to_string_lossy().into_owned());
        parse_lines(&mut lines, &name.unwrap_or_default(), BufReader::new(file))
            .map_err(with_path)?;
    }
    lines.sort_by_key(|line| line.time);
    Ok(lines)
}

fn parse_lines(lines: &mut Vec<LogLine>, file: &str, reader: impl BufRead) -> io::Result<()> {
    for text in reader.lines() {
        let text = text?;
        let Some(start) = text.find('{') else {
            continue;
        };
        let Ok(fields) = serde_json::from_str::<Value>(&text[start..]) else {
            continue;
        };
        let (Some(time), Some(event)) = (fields["time"].as_u64(), fields["event"].as_str()) else {
            continue;
        };
        // Log collectors put the name of the router in front of the line.
        let router = text[..start].split_whitespace().last();
        lines.push(LogLine {
            source: router.unwrap_or(file).to_owned(),
            time,
            event: event.to_owned(),
            fields,
        });
    }
    Ok(())
}

fn write_request(
    report: &mut String,
    id: &str,
    line: &LogLine,
    request: &Request,
    all_lines: &[LogLine],
) {
    let arrived = line.time.saturating_sub(request.elapsed_ms);
    let key = request
        .key
        .map_or_else(String::new, |key| format!(", key {key}"));
    // Writing to a string can't fail.
    let _ = writeln!(
        report,
        "request {id} at {}: route {}, service {}{key}\n  answered {} ({}) after {} of {} ms, under \
         configuration {}",
        line.source,
        request.route,
        request.service,
        request.status,
        request.outcome,
        request.elapsed_ms,
        request.allowed_ms,
        request.configuration,
    );
    for send in &request.sends {
        let map = if send.map > 0 {
            format!(", map {}", send.map)
        } else {
            String::new()
        };
        let _ = writeln!(
            report,
            "  {:>5} ms  sent to {}: {} after {} ms{map}",
            send.at_ms, send.upstream, send.end, send.elapsed_ms
        );
    }
    if request.sends.is_empty() {
        let _ = writeln!(report, "  not sent to an upstream");
    }
    let _ = writeln!(report, "  {}", describe_outcome(&request.outcome));
    let related: Vec<&LogLine> = all_lines
        .iter()
        .filter(|other| {
            // The log line of a request is written when its answer begins, so a cut answer
            // is logged later.
            let is_before = other.time <= line.time || other.event == "answer cut";
            is_before && other.time + WINDOW_MS >= arrived
        })
        .filter(|other| is_related(other, line, request))
        .collect();
    if !related.is_empty() {
        let _ = writeln!(report, "before the answer:");
    }
    for other in related
        .iter()
        .skip(related.len().saturating_sub(MAX_EVENTS))
    {
        let at_ms = other.time as i64 - arrived as i64;
        let _ = writeln!(
            report,
            "  {at_ms:>6} ms  {} {}{}",
            other.source,
            other.event,
            format_fields(other)
        );
    }
}

/// Returns whether an event may have influenced the answer.
fn is_related(other: &LogLine, line: &LogLine, request: &Request) -> bool {
    let same_router = other.source == line.source;
    let upstream = other.fields["upstream"].as_str().unwrap_or_default();
    let is_sent_to = request.sends.iter().any(|send| send.upstream == upstream);
    let covers_key = request.key.is_some_and(|key| {
        let bound = |name: &str| other.fields[name].as_u64();
        let (from, to) = (bound("from"), bound("to"));
        from.is_some_and(|from| from <= key) && to.is_some_and(|to| key <= to)
    });
    let same_service = other.fields["service"] == request.service;
    match &*other.event {
        "request" => false,
        "grant" | "release" => same_service && covers_key,
        "map" => {
            let is_near = other.time + MAP_WINDOW_MS + request.elapsed_ms >= line.time;
            same_service && request.key.is_some() && is_near
        }
        "keeper" => same_service && request.key.is_some(),
        "upstream paused" | "upstream trusted again" | "upstream deferred" => {
            same_router && is_sent_to
        }
        "upstream ended" => is_sent_to,
        "request quarantined" | "quarantine trial" | "quarantine ended" => {
            let fingerprint = &line.fields["fingerprint"];
            !fingerprint.is_null() && other.fields["fingerprint"] == *fingerprint
        }
        "answer cut" => other.fields["id"] == line.fields["id"],
        "store restored" | "link full" => same_router,
        "upstream learnt" | "upstream leaving" | "upstream lapsed" => same_router && is_sent_to,
        "store lost" | "store reached" | "configuration in force" | "stopping" => same_router,
        "start" | "lines left out" => same_router,
        _ => false,
    }
}

fn format_fields(line: &LogLine) -> String {
    let Some(fields) = line.fields.as_object() else {
        return String::new();
    };
    let shown = fields.iter().filter(|(name, value)| {
        !["time", "level", "event", "service"].contains(&name.as_str()) && !value.is_null()
    });
    shown.fold(String::new(), |mut text, (name, value)| {
        let _ = write!(
            text,
            " {name}={}",
            value.as_str().map_or_else(|| value.to_string(), Into::into)
        );
        text
    })
}

/// Explains the meaning of an outcome for the caller.
fn describe_outcome(outcome: &str) -> &'static str {
    match outcome {
        "answered" => "The upstream answered.",
        "upstream-failed" => "The upstream answered that it failed.",
        "busy" => "Not served: the queue was too long for the caller's deadline.",
        "overload" => "Not served: the holder of its key is overloaded.",
        "pressure" => "Not served: the service was tight, and more urgent requests went first.",
        "no-holder" => "Not served: no upstream held the key, or its holder had lost it.",
        "no-upstream" => "Not served: the service had no usable upstream.",
        "evacuated" => "Not served: all upstreams of the service are in evacuated data centres.",
        "abandoned" => "Not served: its caller left before it was sent.",
        "attempts" => "Not served: it was sent to as many upstreams as its route allows.",
        "link-full" => "Not served: its answer is large, and the router's own link was full.",
        "deferred" => "Not served: all usable upstreams asked for no further requests.",
        "budget" => "Not served: the retry budget of all routers together is exhausted.",
        "suspected" => {
            "Not served: a process of an upstream ended under it, and another router tries it."
        }
        "quarantined" => {
            "Not served: processes of upstreams ended under it, one after another (see `request \
             quarantined`)."
        }
        "timeout" => "Sent, but not answered in time; it is unknown whether it has run.",
        "unknown" => "Sent, but the connection broke; it is unknown whether it has run.",
        "not-run" => "Not served: it was sent, but no upstream ran it.",
        _ => "This version doesn't know this outcome.",
    }
}
