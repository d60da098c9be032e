//! Calls of a session reach one process, and leave nothing behind when they are given up.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::LazyLock;
use std::time::Duration;

use eelgrassrock_model::time::Instant;
use eelgrassrock_store::Kind;
use eelgrassrock_store::endpoint::Call;
use eelgrassrock_store::session::{Outcome, Session, Window};
use eelgrassrock_store::settings::Settings;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::task::JoinHandle;
use tokio::time::sleep;

const TIMEOUT: Duration = Duration::from_millis(300);

static START: LazyLock<std::time::Instant> = LazyLock::new(std::time::Instant::now);

fn now() -> Instant {
    Instant::from_micros(START.elapsed().as_micros() as u64 + 1)
}

fn window(connected_by: Instant) -> Window {
    Window {
        connected_by,
        send_by: now() + Duration::from_secs(60),
    }
}

fn session(address: SocketAddr) -> Session {
    let settings = Settings::builder().timeout(TIMEOUT).build();
    Session::new(address, settings, now)
}

fn call() -> Call {
    Call::post("/order", "{}")
}

/// Answers every request on a connection; the last of `closes_after` closes it.
async fn answer(mut stream: TcpStream, closes_after: usize) {
    for number in 1..=closes_after {
        let mut received = Vec::new();
        while !received.ends_with(b"{}") {
            if stream.read_buf(&mut received).await.unwrap_or(0) == 0 {
                return;
            }
        }
        let close = if number == closes_after {
            "connection: close\r\n"
        } else {
            ""
        };
        let answer = format!("HTTP/1.1 200 OK\r\ncontent-length: 0\r\n{close}\r\n");
        if stream.write_all(answer.as_bytes()).await.is_err() {
            return;
        }
    }
}

/// Process whose first connection serves `closes_after` requests.
fn process(listener: TcpListener, closes_after: usize) -> JoinHandle<()> {
    tokio::spawn(async move {
        let mut connections = tokio::task::JoinSet::new();
        let mut requests = closes_after;
        loop {
            let (stream, _) = listener.accept().await.unwrap();
            connections.spawn(answer(stream, requests));
            requests = usize::MAX;
        }
    })
}

async fn is_answered(session: &Session, window: Window) -> bool {
    matches!(session.call(&call(), window).await, Outcome::Answered(_))
}

#[tokio::test]
async fn nothing_is_sent_to_a_later_process_at_the_address() {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
    let address = listener.local_addr().unwrap();
    let first = process(listener, usize::MAX);
    let session = session(address);
    assert!(session.connect().await);
    let connected_by = now();
    assert!(is_answered(&session, window(connected_by)).await);
    first.abort();
    let _ = first.await;
    let listener = TcpListener::bind(address).await.unwrap();
    let later = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut received = [0; 16];
        stream.read(&mut received).await
    });
    let outcome = session.call(&call(), window(connected_by)).await;
    assert!(matches!(outcome, Outcome::Detached), "{outcome:?}");
    sleep(Duration::from_millis(50)).await;
    assert!(!later.is_finished(), "the later process received something");
}

#[tokio::test]
async fn calls_to_a_process_go_on_when_it_closes_a_connection() {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
    let address = listener.local_addr().unwrap();
    let _process = process(listener, 4);
    let session = session(address);
    assert!(session.connect().await);
    let connected_by = now();
    for number in 0..12 {
        assert!(
            is_answered(&session, window(connected_by)).await,
            "call {number}"
        );
        sleep(Duration::from_millis(20)).await;
    }
}

#[tokio::test]
async fn nothing_is_sent_after_the_time_to_send() {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
    let address = listener.local_addr().unwrap();
    let _process = process(listener, usize::MAX);
    let session = session(address);
    assert!(session.connect().await);
    let late = Window {
        connected_by: now(),
        send_by: Instant::from_micros(now().as_micros() - 1),
    };
    match session.call(&call(), late).await {
        Outcome::Failed(fault) => assert!(matches!(fault.kind, Kind::Unreachable(_)), "{fault}"),
        outcome => panic!("{outcome:?}"),
    }
    assert!(is_answered(&session, window(now())).await);
}

/// A connection that is only closed still delivers what a cut link has held up.
#[tokio::test]
async fn a_call_that_is_given_up_resets_its_connection() {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
    let session = session(listener.local_addr().unwrap());
    let peer = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        sleep(2 * TIMEOUT).await;
        let mut received = Vec::new();
        loop {
            match stream.read_buf(&mut received).await {
                Ok(0) => return None,
                Ok(_) => {}
                Err(error) => return Some(error.kind()),
            }
        }
    });
    assert!(session.connect().await);
    let outcome = session.call(&call(), window(now())).await;
    assert!(matches!(outcome, Outcome::Failed(_)), "{outcome:?}");
    assert_eq!(peer.await.unwrap(), Some(ErrorKind::ConnectionReset));
}

/// An address whose queue of unaccepted connections is full drops further ones.
#[tokio::test]
async fn calls_to_a_silent_address_fail_with_one_attempt_to_connect() {
    let socket = TcpSocket::new_v4().unwrap();
    socket.bind(([127, 0, 0, 1], 0).into()).unwrap();
    let listener = socket.listen(1).unwrap();
    let address = listener.local_addr().unwrap();
    let fill: Vec<_> = (0..4)
        .map(|_| tokio::spawn(TcpStream::connect(address)))
        .collect();
    sleep(Duration::from_millis(100)).await;
    let settings = Settings::builder().connect_timeout(TIMEOUT).build();
    let session = Session::new(address, settings, now);
    let began = now();
    let mut calls = tokio::task::JoinSet::new();
    for _ in 0..12 {
        let session = session.clone();
        calls.spawn(async move { is_answered(&session, window(began)).await });
    }
    assert!(calls.join_all().await.iter().all(|answered| !answered));
    assert!(now() - began < 3 * TIMEOUT, "{:?}", now() - began);
    drop(fill);
}

#[tokio::test]
async fn many_calls_to_a_distant_process_are_all_sent() {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
    let address = listener.local_addr().unwrap();
    let _process = tokio::spawn(async move {
        let mut connections = tokio::task::JoinSet::new();
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            connections.spawn(async move {
                let mut received = [0; 512];
                while stream
                    .read(&mut received)
                    .await
                    .is_ok_and(|length| length > 0)
                {
                    sleep(Duration::from_millis(60)).await;
                    let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
                    stream.write_all(answer).await.unwrap();
                }
            });
        }
    });
    let session = session(address);
    assert!(session.connect().await);
    let connected_by = now();
    let mut calls = tokio::task::JoinSet::new();
    for _ in 0..40 {
        let session = session.clone();
        calls.spawn(async move { is_answered(&session, window(connected_by)).await });
    }
    let answered = calls.join_all().await;
    assert_eq!(answered.iter().filter(|answered| **answered).count(), 40);
}
