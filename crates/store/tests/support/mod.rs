//! Settings and servers that the tests of the clients share.

use std::net::SocketAddr;
use std::time::Duration;

use eelgrassrock_store::settings::Settings;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket};

const TIMEOUT_MS: u64 = 300;
const MAX_BODY_BYTES: usize = 64 << 10;
const MAX_REQUEST_BYTES: usize = 16 << 10;

/// Returns settings with short limits, so that a call meets a fault within milliseconds.
pub(crate) fn settings() -> Settings {
    Settings::builder()
        .connect_timeout(Duration::from_millis(TIMEOUT_MS))
        .timeout(Duration::from_millis(TIMEOUT_MS))
        .max_body_bytes(MAX_BODY_BYTES)
        .build()
}

/// Starts a server that answers every request with `status` and `body`.
#[allow(dead_code, reason = "not every test file needs it")]
pub(crate) async fn answering(status: &'static str, body: String) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let answer = format!(
        "HTTP/1.1 {status}\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut request = vec![0; MAX_REQUEST_BYTES];
            while stream.read(&mut request).await.is_ok_and(|read| read > 0) {
                if stream.write_all(answer.as_bytes()).await.is_err() {
                    break;
                }
            }
        }
    });
    address
}

/// Port that refuses connections. It stays bound, so that a listener of another test can't
/// take it.
#[allow(dead_code, reason = "not every test file needs it")]
pub(crate) struct ClosedPort(TcpSocket);

#[allow(dead_code, reason = "not every test file needs it")]
impl ClosedPort {
    pub(crate) fn bind() -> Self {
        let socket = TcpSocket::new_v4().unwrap();
        socket.bind(([127, 0, 0, 1], 0).into()).unwrap();
        Self(socket)
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.0.local_addr().unwrap()
    }
}
