//! Upstreams that write their answers to the socket themselves, so that a test can send malformed
//! or incomplete answers.

use std::net::SocketAddr;
use std::sync::Arc;

use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpStream};

/// Reads the head of a request or an answer in lower case. Returns `None` if the connection ends
/// first.
pub(crate) async fn head(stream: &mut TcpStream) -> Option<String> {
    let mut bytes = Vec::new();
    while !bytes.ends_with(b"\r\n\r\n") {
        bytes.push(stream.read_u8().await.ok()?);
    }
    Some(String::from_utf8_lossy(&bytes).to_lowercase())
}

/// Returns the value of a header field, or an empty string if the head lacks it.
pub(crate) fn field<'a>(head: &'a str, name: &str) -> &'a str {
    let line = head.lines().find_map(|line| line.strip_prefix(name));
    line.unwrap_or_default().trim_start_matches(':').trim()
}

/// Formats a complete answer with status 200.
pub(crate) fn answer(id: Option<&str>, body: &str) -> String {
    let id = id.map_or(String::new(), |id| format!("x-id: {id}\r\n"));
    let length = body.len();
    format!("HTTP/1.1 200 OK\r\n{id}content-length: {length}\r\n\r\n{body}")
}

/// Starts an upstream that handles each connection with `serve`, and returns its address.
pub(crate) async fn upstream<S, F>(serve: S) -> SocketAddr
where
    S: Fn(TcpStream) -> F + Send + Sync + 'static,
    F: Future<Output = Option<()>> + Send + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let serve = Arc::new(serve);
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            stream.set_nodelay(true).unwrap();
            tokio::spawn(serve(stream));
        }
    });
    address
}
