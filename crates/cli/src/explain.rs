//! `explain`: how a request came to its answer, from the log lines of the
//! routers.

use std::fmt::Write;
use std::fs::File;
use std::io::{self, BufRead, BufReader};
use std::path::PathBuf;

use serde::Deserialize;
use serde_json::Value;

use crate::answer::Answer;

/// Time before an answer in which other events may be its cause: longer than
/// any lease or pause.
const WINDOW_MS: u64 = 10_000;
/// The same for changes of the map, of which there are many.
const MAP_WINDOW_MS: u64 = 1_500;
/// Events that are shown at most; the last ones are nearest to the answer.
const MAX_EVENTS: usize = 16;

/// One log line and where it comes from.
struct Line {
    source: String,
    time: u64,
    event: String,
    fields: Value,
}

/// Line about a request.
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
    sends: Vec<Send>,
}

#[derive(Deserialize)]
struct Send {
    upstream: String,
    at_ms: u64,
    elapsed_ms: u64,
    end: String,
    map: u64,
}

/// Explains the request with this identifier.
pub(crate) fn explain(id: &str, files: &[PathBuf]) -> Answer {
    let lines = match read(files) {
        Ok(lines) => lines,
        Err(fault) => return Answer::refused(fault),
    };
    let own: Vec<&Line> = lines
        .iter()
        .filter(|line| line.event == "request" && line.fields["id"] == id)
        .collect();
    if own.is_empty() {
        return Answer::refused(format!(
            "no line about the request {id}; plain successes are sampled, and lines beyond the \
             bound are left out (look for `lines left out`)"
        ));
    }
    let mut story = String::new();
    for line in own {
        match Request::deserialize(&line.fields) {
            Ok(request) => tell(&mut story, id, line, &request, &lines),
            Err(fault) => {
                return Answer::refused(format!("the line of {id} can't be read: {fault}"));
            }
        }
    }
    Answer::done(story.trim_end().to_owned())
}

/// Reads the lines of all files, or of standard input. Lines that aren't JSON
/// objects belong to somebody else.
fn read(files: &[PathBuf]) -> Result<Vec<Line>, String> {
    let mut lines = Vec::new();
    if files.is_empty() {
        collect(&mut lines, "", io::stdin().lock()).map_err(|fault| format!("stdin: {fault}"))?;
    }
    for path in files {
        let fault = |fault: io::Error| format!("{}: {fault}", path.display());
        let file = File::open(path).map_err(fault)?;
        let name = path
            .file_stem()
            .map(|name| name.to_string_lossy().into_owned());
        collect(&mut lines, &name.unwrap_or_default(), BufReader::new(file)).map_err(fault)?;
    }
    lines.sort_by_key(|line| line.time);
    Ok(lines)
}

fn collect(lines: &mut Vec<Line>, file: &str, reader: impl BufRead) -> io::Result<()> {
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
        // A collector writes the name of the router before the line.
        let prefix = text[..start].split_whitespace().last();
        lines.push(Line {
            source: prefix.unwrap_or(file).to_owned(),
            time,
            event: event.to_owned(),
            fields,
        });
    }
    Ok(())
}

fn tell(story: &mut String, id: &str, line: &Line, request: &Request, all: &[Line]) {
    let arrived = line.time.saturating_sub(request.elapsed_ms);
    let key = request
        .key
        .map_or_else(String::new, |key| format!(", key {key}"));
    // Writing to a string can't fail.
    let _ = writeln!(
        story,
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
            story,
            "  {:>5} ms  sent to {}: {} after {} ms{map}",
            send.at_ms, send.upstream, send.end, send.elapsed_ms
        );
    }
    if request.sends.is_empty() {
        let _ = writeln!(story, "  never sent to an upstream");
    }
    let _ = writeln!(story, "  {}", meaning(&request.outcome));
    let related: Vec<&Line> = all
        .iter()
        .filter(|other| {
            // The line of a request is written with the beginning of its answer.
            let is_before = other.time <= line.time || other.event == "answer cut";
            is_before && other.time + WINDOW_MS >= arrived
        })
        .filter(|other| is_related(other, line, request))
        .collect();
    if !related.is_empty() {
        let _ = writeln!(story, "before the answer:");
    }
    for other in related
        .iter()
        .skip(related.len().saturating_sub(MAX_EVENTS))
    {
        let at_ms = other.time as i64 - arrived as i64;
        let _ = writeln!(
            story,
            "  {at_ms:>6} ms  {} {}{}",
            other.source,
            other.event,
            details(other)
        );
    }
}

/// Whether an event may have to do with the answer.
fn is_related(other: &Line, line: &Line, request: &Request) -> bool {
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
        "answer cut" => other.fields["id"] == line.fields["id"],
        "store restored" | "link full" => same_router,
        "upstream learnt" | "upstream leaving" | "upstream lapsed" => same_router && is_sent_to,
        "store lost" | "store reached" | "configuration in force" | "stopping" => same_router,
        "start" | "lines left out" => same_router,
        _ => false,
    }
}

fn details(line: &Line) -> String {
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

/// Says what an outcome means for the caller.
fn meaning(outcome: &str) -> &'static str {
    match outcome {
        "answered" => "The upstream's own answer.",
        "upstream-failed" => "The upstream itself answered that it failed.",
        "busy" => "Not served: the queue was too long for the time that the caller had.",
        "overload" => "Not served: the holder of its key is asked for more than it can serve.",
        "no-holder" => "Not served: no upstream held the key, or its holder had lost it.",
        "no-upstream" => "Not served: the service had no upstream that could be used.",
        "attempts" => "Not served: sent to as many upstreams as its route allows.",
        "link-full" => "Not served: its answer is large, and the router's own link was full.",
        "deferred" => "Not served: the upstreams that could take it asked for no requests.",
        "budget" => "Not served: all routers together may not send more repeats.",
        "timeout" => "Sent, but not answered in time; whether it has run isn't known.",
        "unknown" => "Sent, but the connection broke; whether it has run isn't known.",
        "not-run" => "Not served: it was sent, but no upstream ran it.",
        _ => "An outcome that this version doesn't know.",
    }
}
