//! Proxy that carries the answers to one router at a limited rate.

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use socket2::{Domain, Socket, Type};
use tokio::io::{AsyncReadExt, AsyncWriteExt, copy};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::Mutex;
use tokio::time::{Instant, sleep_until};

/// Bytes that are forwarded at once, as in one packet.
const PACKET_BYTES: usize = 1_460;

/// Link whose connections share a rate. They lead to the target until the runtime ends.
pub(crate) struct Link {
    /// Address at which the target is reached over the link.
    pub(crate) address: SocketAddr,
}

/// Address at which connections are neither accepted nor refused, like those into a partition.
pub(crate) struct BlackHole {
    pub(crate) address: SocketAddr,
    _listener: Socket,
    /// Connections that fill the queue of the listener.
    _queue: Vec<std::net::TcpStream>,
}

impl BlackHole {
    pub(crate) fn open() -> Self {
        let listener = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        listener.bind(&any.into()).unwrap();
        listener.listen(0).unwrap();
        let address = listener.local_addr().unwrap().as_socket().unwrap();
        let mut queue = Vec::new();
        let limit = Duration::from_millis(100);
        while let Ok(stream) = std::net::TcpStream::connect_timeout(&address, limit) {
            queue.push(stream);
        }
        Self {
            address,
            _listener: listener,
            _queue: queue,
        }
    }
}

/// When the last byte that was sent will have passed.
type Busy = Arc<Mutex<Instant>>;

impl Link {
    /// Starts a link to `target`, at the same IP address. Connections go on from the IP address
    /// `client`, since routers recognize each other by it.
    pub(crate) async fn start(target: SocketAddr, client: IpAddr, bytes_per_s: u32) -> Self {
        let listener = TcpListener::bind((target.ip(), 0)).await.unwrap();
        let address = listener.local_addr().unwrap();
        let busy = Arc::new(Mutex::new(Instant::now()));
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let busy = Arc::clone(&busy);
                tokio::spawn(async move {
                    // Either side may close at any time.
                    let _ = forward(stream, target, client, bytes_per_s, busy).await;
                });
            }
        });
        Self { address }
    }
}

async fn forward(
    stream: TcpStream,
    target: SocketAddr,
    client: IpAddr,
    bytes_per_s: u32,
    busy: Busy,
) -> std::io::Result<()> {
    let socket = TcpSocket::new_v4()?;
    socket.bind((client, 0).into())?;
    let (mut server_out, mut server_in) = socket.connect(target).await?.into_split();
    let (mut client_in, mut client_out) = stream.into_split();
    let calls = async move {
        copy(&mut client_in, &mut server_in).await?;
        server_in.shutdown().await
    };
    let answers = async move {
        let mut packet = [0; PACKET_BYTES];
        loop {
            let read = server_out.read(&mut packet).await?;
            if read == 0 {
                return client_out.shutdown().await;
            }
            let time = Duration::from_secs_f64(read as f64 / f64::from(bytes_per_s));
            let passed = {
                let mut busy = busy.lock().await;
                *busy = (*busy).max(Instant::now()) + time;
                *busy
            };
            sleep_until(passed).await;
            client_out.write_all(&packet[..read]).await?;
        }
    };
    tokio::try_join!(calls, answers).map(|_| ())
}
