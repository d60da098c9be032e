//! `status`: fetches and prints the state of one router.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use derive_more::{Display, Error};
use eelgrassrock_config::secret::{Process, Secret};
use http::header::{AUTHORIZATION, HOST};
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Empty, Limited};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use serde_json::Value;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::args::Status;
use crate::output::Output;

const STATUS_TIMEOUT: Duration = Duration::from_secs(10);
const MAX_STATUS_BYTES: usize = 64 << 20;

/// Reason why a router returned no state.
#[derive(Debug, Display, Error)]
enum Fault {
    #[display("no connection: {_0}")]
    Unreachable(std::io::Error),
    #[display("the connection broke: {_0}")]
    Broken(hyper::Error),
    #[display("no complete response within {} s", STATUS_TIMEOUT.as_secs())]
    Timeout,
    #[display("the secret was refused; allowed: the secret of this deployment")]
    Secret,
    #[display("unexpected status {_0}")]
    Status(#[error(not(source))] StatusCode),
    #[display("the response can't be read: {_0}")]
    Body(#[error(not(source))] String),
}

pub(crate) async fn status(arguments: &Status) -> Output {
    let secret = match arguments.secret.load(&Process) {
        Ok(secret) => secret,
        Err(error) => return Output::refused(format!("{}: {error}", arguments.secret)),
    };
    let result = timeout(STATUS_TIMEOUT, fetch(arguments.admin, &secret)).await;
    match result.unwrap_or(Err(Fault::Timeout)) {
        Ok(state) if arguments.json => Output::done(state),
        Ok(state) => Output::done(format_text(&state)),
        Err(error) => Output::refused(format!("router at {}: {error}", arguments.admin)),
    }
}

async fn fetch(admin: SocketAddr, secret: &Secret) -> Result<Value, Fault> {
    let stream = TcpStream::connect(admin)
        .await
        .map_err(Fault::Unreachable)?;
    let handshake = http1::handshake(TokioIo::new(stream)).await;
    let (mut sender, connection) = handshake.map_err(Fault::Broken)?;
    // If the connection breaks, `send_request` or reading the body reports it.
    tokio::spawn(async move { connection.await.unwrap_or_default() });
    let response = sender.send_request(request(admin, secret)).await;
    let response = response.map_err(Fault::Broken)?;
    match response.status() {
        StatusCode::OK => {}
        StatusCode::UNAUTHORIZED | StatusCode::FORBIDDEN => return Err(Fault::Secret),
        other => return Err(Fault::Status(other)),
    }
    let body = Limited::new(response.into_body(), MAX_STATUS_BYTES)
        .collect()
        .await;
    let body = body.map_err(|error| Fault::Body(error.to_string()))?;
    serde_json::from_slice(&body.to_bytes()).map_err(|error| Fault::Body(error.to_string()))
}

fn request(admin: SocketAddr, secret: &Secret) -> Request<Empty<Bytes>> {
    Request::get("/status")
        .header(HOST, admin.to_string())
        .header(AUTHORIZATION, format!("Bearer {}", secret.expose()))
        .body(Empty::new())
        .expect("a secret is visible ASCII")
}

/// Formats JSON as indented lines, with each entry of an array on its own line.
fn format_text(state: &Value) -> String {
    let mut lines = Vec::new();
    append_lines(&mut lines, 0, state);
    lines.join("\n")
}

fn append_lines(lines: &mut Vec<String>, depth: usize, value: &Value) {
    let indent = "  ".repeat(depth);
    match value {
        Value::Object(members) => {
            for (name, member) in members {
                if is_inline(member) {
                    lines.push(format!("{indent}{name}: {}", format_inline(member)));
                } else {
                    lines.push(format!("{indent}{name}:"));
                    append_lines(lines, depth + 1, member);
                }
            }
        }
        Value::Array(entries) => {
            for entry in entries {
                lines.push(format!("{indent}{}", format_inline(entry)));
            }
        }
        _ => lines.push(format!("{indent}{}", format_inline(value))),
    }
}

fn is_inline(value: &Value) -> bool {
    match value {
        Value::Object(members) => members.is_empty(),
        Value::Array(entries) => entries.iter().all(|entry| !entry.is_object()),
        _ => true,
    }
}

fn format_inline(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Array(entries) if entries.is_empty() => "none".to_owned(),
        Value::Array(entries) => entries
            .iter()
            .map(format_inline)
            .collect::<Vec<_>>()
            .join(", "),
        Value::Object(members) if members.is_empty() => "none".to_owned(),
        Value::Object(members) => {
            let pairs = members
                .iter()
                .map(|(name, member)| format!("{name} {}", format_inline(member)));
            pairs.collect::<Vec<_>>().join(", ")
        }
        other => other.to_string(),
    }
}
