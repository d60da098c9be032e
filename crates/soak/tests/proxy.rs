//! What a link does with bytes, resets and new connections while it is cut or its server has ended.

use std::io::ErrorKind;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use eelgrassrock_soak::proxy::Proxy;
use rstest::rstest;
use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};

/// Time within which bytes pass an open link.
const PASSING: Duration = Duration::from_secs(5);
/// Time for which a link that is cut is watched.
const WATCHED: Duration = Duration::from_millis(150);

async fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
    let address = listener.local_addr().unwrap();
    (listener, address)
}

/// Connects through a proxy. Returns both ends.
async fn connect(proxy: &Proxy, listener: &TcpListener) -> (TcpStream, TcpStream) {
    let mut client = TcpStream::connect(proxy.address()).await.unwrap();
    let (mut server, _) = timeout(PASSING, listener.accept()).await.unwrap().unwrap();
    client.write_all(b"a").await.unwrap();
    assert_eq!(server.read_u8().await.unwrap(), b'a');
    (client, server)
}

fn reset(stream: TcpStream) {
    SockRef::from(&stream)
        .set_linger(Some(Duration::ZERO))
        .unwrap();
}

#[rstest]
#[case::open_sender(false)]
#[case::sender_reset_the_connection(true)]
#[tokio::test]
async fn bytes_held_back_by_a_cut_arrive_later_unless_their_sender_resets(#[case] is_reset: bool) {
    let (listener, address) = listen().await;
    let proxy = Proxy::start(address).await.unwrap();
    let (mut client, mut server) = connect(&proxy, &listener).await;
    proxy.control.cut([true, true]);
    client.write_all(b"b").await.unwrap();
    assert!(timeout(WATCHED, server.read_u8()).await.is_err());
    let kept = if is_reset {
        reset(client);
        None
    } else {
        Some(client)
    };
    sleep(WATCHED).await;
    proxy.control.cut([false, false]);
    let read = timeout(PASSING, server.read_u8()).await.unwrap();
    assert_eq!(read.ok(), kept.map(|_| b'b'));
}

#[tokio::test]
async fn a_cut_holds_back_a_reset() {
    let (listener, address) = listen().await;
    let proxy = Proxy::start(address).await.unwrap();
    let (mut client, server) = connect(&proxy, &listener).await;
    proxy.control.cut([true, true]);
    reset(server);
    assert!(timeout(WATCHED, client.read_u8()).await.is_err());
    proxy.control.cut([false, false]);
    let read = timeout(PASSING, client.read_u8()).await.unwrap();
    assert_eq!(read.unwrap_err().kind(), ErrorKind::ConnectionReset);
}

#[rstest]
#[case::open(false)]
#[case::behind_a_cut(true)]
#[tokio::test]
async fn an_ended_server_refuses_connections_until_the_next_one_runs(#[case] is_cut: bool) {
    let (listener, address) = listen().await;
    let proxy = Proxy::start(address).await.unwrap();
    drop(connect(&proxy, &listener).await);
    proxy.control.cut([is_cut, is_cut]);
    drop(listener);
    proxy.refuse(address);
    sleep(WATCHED).await;
    let connected = TcpStream::connect(proxy.address()).await;
    let refusal = connected.as_ref().err().map(std::io::Error::kind);
    assert_eq!(refusal, (!is_cut).then_some(ErrorKind::ConnectionRefused));
    let (next, next_address) = listen().await;
    proxy.retarget(next_address);
    proxy.control.cut([false, false]);
    sleep(WATCHED).await;
    let mut client = match connected {
        Ok(held) => held,
        Err(_) => TcpStream::connect(proxy.address()).await.unwrap(),
    };
    client.write_all(b"b").await.unwrap();
    let (mut server, _) = timeout(PASSING, next.accept()).await.unwrap().unwrap();
    assert_eq!(server.read_u8().await.unwrap(), b'b');
}
