//! Loopback proxy whose connections are delayed, cut, reset or silenced.

use std::io;
use std::net::{Shutdown, SocketAddr};
use std::time::Duration;

use socket2::SockRef;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::sleep;

/// Bytes that are passed on at once.
const CHUNK_BYTES: usize = 16 << 10;

/// How a proxy treats its connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Mode {
    delay: Duration,
    /// Bytes towards the server, and towards the client, wait.
    is_cut: [bool; 2],
    /// Connections of earlier counts are reset, or silent for good.
    resets: u32,
    silences: u32,
}

/// A listening port that passes connections on. It ends with its runtime.
#[derive(Debug)]
pub(crate) struct Proxy {
    address: SocketAddr,
    mode: watch::Sender<Mode>,
}

impl Proxy {
    pub(crate) async fn start(target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let address = listener.local_addr()?;
        let mode = watch::Sender::new(Mode::default());
        let modes = mode.subscribe();
        tokio::spawn(async move {
            while let Ok((client, _)) = listener.accept().await {
                tokio::spawn(pass(client, target, modes.clone()));
            }
        });
        Ok(Self { address, mode })
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    pub(crate) fn delay(&self, delay: Duration) {
        self.mode.send_modify(|mode| mode.delay = delay);
    }

    /// Holds bytes back towards the server, and towards the client.
    pub(crate) fn cut(&self, is_cut: [bool; 2]) {
        self.mode.send_modify(|mode| mode.is_cut = is_cut);
    }

    /// Resets the open connections.
    pub(crate) fn reset(&self) {
        self.mode.send_modify(|mode| mode.resets += 1);
    }

    /// Leaves the open connections open, and passes nothing on any more.
    pub(crate) fn silence(&self) {
        self.mode.send_modify(|mode| mode.silences += 1);
    }
}

async fn pass(client: TcpStream, target: SocketAddr, mut modes: watch::Receiver<Mode>) {
    let first = *modes.borrow();
    // The proxy ends with the run.
    if open(&mut modes, 0).await.is_err() {
        return;
    }
    let Ok(server) = TcpStream::connect(target).await else {
        reset(&client);
        return;
    };
    for stream in [&client, &server] {
        // Delayed packets cost only latency, so a failure is harmless.
        let _ = stream.set_nodelay(true);
    }
    let both = async {
        let forward = pump(&client, &server, modes.clone(), 0, first.silences);
        let backward = pump(&server, &client, modes.clone(), 1, first.silences);
        tokio::try_join!(forward, backward)
    };
    let mut resets = modes.clone();
    let is_over = tokio::select! {
        ended = both => ended.is_ok(),
        _ = resets.wait_for(|mode| mode.resets != first.resets) => false,
    };
    if !is_over {
        reset(&client);
        reset(&server);
    }
}

/// A connection broke, or the proxy ends.
struct Broken;

/// Waits until one direction is open.
async fn open(modes: &mut watch::Receiver<Mode>, direction: usize) -> Result<Mode, Broken> {
    let mode = modes.wait_for(|mode| !mode.is_cut[direction]).await;
    mode.map(|mode| *mode).map_err(|_| Broken)
}

/// Passes bytes on until the sender ends.
async fn pump(
    from: &TcpStream,
    to: &TcpStream,
    mut modes: watch::Receiver<Mode>,
    direction: usize,
    silences: u32,
) -> Result<(), Broken> {
    let mut chunk = vec![0; CHUNK_BYTES];
    loop {
        let read = read(from, &mut chunk).await.map_err(|_| Broken)?;
        let mode = open(&mut modes, direction).await?;
        let is_silent = mode.silences != silences;
        if !is_silent {
            sleep(mode.delay).await;
            write(to, &chunk[..read]).await.map_err(|_| Broken)?;
        }
        if read == 0 {
            // The other side may have closed as well.
            let _ = SockRef::from(to).shutdown(Shutdown::Write);
            return Ok(());
        }
    }
}

async fn read(stream: &TcpStream, chunk: &mut [u8]) -> io::Result<usize> {
    loop {
        stream.readable().await?;
        match stream.try_read(chunk) {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            done => return done,
        }
    }
}

async fn write(stream: &TcpStream, mut bytes: &[u8]) -> io::Result<()> {
    while !bytes.is_empty() {
        stream.writable().await?;
        match stream.try_write(bytes) {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            Err(error) => return Err(error),
            Ok(written) => bytes = &bytes[written..],
        }
    }
    Ok(())
}

/// Closes with a reset in place of an orderly end.
fn reset(stream: &TcpStream) {
    // A connection that is closed already can't be reset.
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
}
