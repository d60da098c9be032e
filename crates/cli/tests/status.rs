//! `status` against an admin port that returns scripted responses.

mod support;

use std::net::SocketAddr;

use eelgrassrock_cli::output::{Exit, Output};
use rstest::rstest;
use support::{Platform, run};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket};

const SECRET: &str = "0123456789abcdef";
const STATE: &str = r#"{"router":"r1","homes":[{"upstream":"l1","term":3,"queue":0}],"peers":["r2"],"bundle":{"version":2}}"#;

/// Accepts one request, sends `response` and returns the head of the request.
async fn serve(listener: TcpListener, response: String) -> String {
    let (mut stream, _) = listener.accept().await.unwrap();
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.unwrap());
    }
    stream.write_all(response.as_bytes()).await.unwrap();
    String::from_utf8(head).unwrap()
}

fn http(status: &str, body: &str) -> String {
    format!(
        "HTTP/1.1 {status}\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    )
}

async fn ask(admin: SocketAddr, flags: &[&str]) -> Output {
    let platform = Platform::start().await;
    let secret = platform.file("secret", SECRET);
    let admin = admin.to_string();
    let words = ["status", "--admin", &admin, "--secret-file", &secret];
    run(&[&words, flags].concat()).await
}

async fn ask_scripted(response: String, flags: &[&str]) -> (String, Output) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let admin = listener.local_addr().unwrap();
    tokio::join!(serve(listener, response), ask(admin, flags))
}

#[tokio::test]
async fn state_is_printed_and_the_secret_sent() {
    let (head, output) = ask_scripted(http("200 OK", STATE), &[]).await;
    assert!(head.starts_with("GET /status HTTP/1.1\r\n"), "{head}");
    assert!(
        head.contains(&format!("authorization: Bearer {SECRET}\r\n")),
        "{head}"
    );
    let lines: Vec<&str> = output.stdout.lines().collect();
    let expected = [
        "bundle:",
        "  version: 2",
        "homes:",
        "  queue 0, term 3, upstream l1",
        "peers: r2",
        "router: r1",
    ];
    let mut sorted = lines.clone();
    sorted.sort_unstable();
    let mut wanted = expected;
    wanted.sort_unstable();
    assert_eq!(sorted, wanted, "{output:?}");
}

#[tokio::test]
async fn json_is_printed_unchanged() {
    let (_, output) = ask_scripted(http("200 OK", STATE), &["--json"]).await;
    let printed: serde_json::Value = serde_json::from_str(&output.stdout).unwrap();
    assert_eq!(
        printed,
        serde_json::from_str::<serde_json::Value>(STATE).unwrap()
    );
}

#[rstest]
#[case::secret(http("401 Unauthorized", ""), "the secret was refused")]
#[case::other(http("500 Internal Server Error", ""), "unexpected status 500")]
#[case::no_json(http("200 OK", "<html>"), "can't be read")]
#[case::cut("HTTP/1.1 200 OK\r\ncontent-length: 99\r\n\r\n{".to_owned(), "can't be read")]
#[case::no_http("220 ready\r\n".to_owned(), "the connection broke")]
#[tokio::test]
async fn invalid_response_is_refused(#[case] response: String, #[case] reason: &str) {
    let (_, output) = ask_scripted(response, &[]).await;
    assert_eq!(output.exit, Exit::Refused);
    assert!(output.stderr.contains(reason), "{output:?}");
    assert!(!output.stderr.contains(SECRET));
}

#[tokio::test]
async fn unreachable_router_is_refused() {
    // The socket is bound but not listening, so connections are refused and no other test
    // can take the port.
    let socket = TcpSocket::new_v4().unwrap();
    socket.bind(([127, 0, 0, 1], 0).into()).unwrap();
    let output = ask(socket.local_addr().unwrap(), &[]).await;
    assert!(
        output.exit == Exit::Refused && output.stderr.contains("no connection"),
        "{output:?}"
    );
}
