//! Loopback proxy whose connections can be delayed, cut, reset or silenced.

use std::io;
use std::net::{Ipv4Addr, Shutdown, SocketAddr};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use socket2::SockRef;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;
use tokio::time::{Instant, sleep, sleep_until};

/// Maximum number of bytes that are forwarded at once.
const CHUNK_BYTES: usize = 16 << 10;
/// Maximum number of connections that wait to be accepted.
const BACKLOG: u32 = 1_024;

/// Rate at which connections pass bytes, shared by all links of a machine.
#[derive(Debug)]
pub struct Rate {
    bytes_per_s: u32,
    /// When the bytes towards servers, and towards clients, will have passed.
    busy_until: [Mutex<Instant>; 2],
}

impl Rate {
    /// Creates a rate in each direction.
    pub fn new(bytes_per_s: u32) -> Self {
        let now = Mutex::new(Instant::now());
        Self {
            bytes_per_s: bytes_per_s.max(1),
            busy_until: [now, Mutex::new(Instant::now())],
        }
    }

    /// Waits until `bytes` have passed in one direction, behind all others.
    async fn pass(&self, bytes: usize, direction: usize) {
        let time = Duration::from_secs_f64(bytes as f64 / f64::from(self.bytes_per_s));
        let passed = {
            let busy_until = self.busy_until[direction].lock();
            let mut busy_until = busy_until.unwrap_or_else(PoisonError::into_inner);
            *busy_until = (*busy_until).max(Instant::now()) + time;
            *busy_until
        };
        sleep_until(passed).await;
    }
}

/// How a proxy treats its connections.
#[derive(Clone, Debug, Default)]
pub(crate) struct Mode {
    pub(crate) delay: Duration,
    rate: Option<Arc<Rate>>,
    /// Whether bytes towards the server, and towards the client, are held back.
    pub(crate) is_cut: [bool; 2],
    /// Number of resets so far. A connection with a lower initial count is reset.
    resets: u32,
    /// Whether new connections are refused, as by a host on which no process listens.
    is_refusing: bool,
    /// Number of silences so far. A connection with a lower initial count passes no bytes.
    silences: u32,
}

/// Control of the connections of a link.
#[derive(Debug, Default)]
pub struct Control(watch::Sender<Mode>);

impl Control {
    pub(crate) fn subscribe(&self) -> watch::Receiver<Mode> {
        self.0.subscribe()
    }

    /// Whether bytes are delayed or held back.
    pub(crate) fn is_impaired(&self) -> bool {
        let mode = self.0.borrow();
        mode.delay > Duration::ZERO || mode.rate.is_some() || mode.is_cut.contains(&true)
    }

    /// Limits the rate of the connections, or lifts the limit.
    pub fn limit(&self, rate: Option<Arc<Rate>>) {
        self.0.send_modify(|mode| mode.rate = rate);
    }

    /// Delays each chunk by `delay`.
    pub(crate) fn delay(&self, delay: Duration) {
        self.0.send_modify(|mode| mode.delay = delay);
    }

    /// Refuses new connections, or accepts them again.
    pub(crate) fn refuse(&self, is_refusing: bool) {
        self.0.send_modify(|mode| mode.is_refusing = is_refusing);
    }

    /// Sets whether bytes towards the server, and towards the client, are held back.
    pub fn cut(&self, is_cut: [bool; 2]) {
        self.0.send_modify(|mode| mode.is_cut = is_cut);
    }

    /// Resets the open connections.
    pub(crate) fn reset(&self) {
        self.0.send_modify(|mode| mode.resets += 1);
    }

    /// Keeps the open connections open, but forwards no more bytes on them.
    pub(crate) fn silence(&self) {
        self.0.send_modify(|mode| mode.silences += 1);
    }
}

/// Listening port that forwards connections to a target. It runs until its runtime ends.
#[derive(Debug)]
pub struct Proxy {
    address: SocketAddr,
    /// Keeps the port while connections are refused.
    _reserved: TcpSocket,
    target: watch::Sender<SocketAddr>,
    /// Control of the proxy's connections.
    pub control: Arc<Control>,
}

impl Proxy {
    /// Starts a proxy to `target`, at a port of its own.
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be opened.
    pub async fn start(target: SocketAddr) -> io::Result<Self> {
        Self::open(target)
    }

    /// Opens a proxy to `target`, at a port of its own. Must be called within a runtime.
    pub(crate) fn open(target: SocketAddr) -> io::Result<Self> {
        let reserved = bind((Ipv4Addr::LOCALHOST, 0).into())?;
        let address = reserved.local_addr()?;
        let control = Arc::new(Control::default());
        let (target, targets) = watch::channel(target);
        let listener = bind(address)?.listen(BACKLOG)?;
        tokio::spawn(accept(listener, control.subscribe(), targets));
        Ok(Self {
            address,
            _reserved: reserved,
            target,
            control,
        })
    }

    /// Forwards new connections to another target.
    pub fn retarget(&self, target: SocketAddr) {
        self.target.send_replace(target);
        self.control.refuse(false);
    }

    /// Refuses new connections if they lead to `ended`, which has closed its port.
    pub fn refuse(&self, ended: SocketAddr) {
        if *self.target.borrow() == ended {
            self.control.refuse(true);
        }
    }

    /// Returns the address at which the proxy listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

/// Creates a socket whose address others may have bound, but don't listen on.
fn bind(address: SocketAddr) -> io::Result<TcpSocket> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    Ok(socket)
}

/// Accepts connections and forwards them to the current target, except while they are refused.
async fn accept(
    mut listener: TcpListener,
    modes: watch::Receiver<Mode>,
    targets: watch::Receiver<SocketAddr>,
) -> io::Result<()> {
    let address = listener.local_addr()?;
    let mut refusals = modes.clone();
    loop {
        // Behind a cut, nobody learns that no process listens.
        let refused = async {
            let refused =
                refusals.wait_for(|mode| mode.is_refusing && !mode.is_cut.contains(&true));
            refused.await.is_ok()
        };
        let is_running = tokio::select! {
            accepted = listener.accept() => {
                let targets = targets.clone();
                let server = async move {
                    let target = *targets.borrow();
                    TcpStream::connect(target).await
                };
                tokio::spawn(relay(accepted?.0, server, modes.clone()));
                continue;
            }
            is_running = refused => is_running,
        };
        drop(listener);
        let reopened = refusals.wait_for(|mode| !mode.is_refusing).await;
        if !is_running || reopened.map(|_| ()).is_err() {
            return Ok(());
        }
        listener = bind(address)?.listen(BACKLOG)?;
    }
}

/// Forwards bytes between a client and a server until both have closed.
pub(crate) async fn relay(
    client: TcpStream,
    server: impl Future<Output = io::Result<TcpStream>>,
    mut modes: watch::Receiver<Mode>,
) {
    let initial = modes.borrow().clone();
    // An error means that the run and its proxy have ended.
    if wait_until_open(&mut modes, 0).await.is_err() {
        return;
    }
    let Ok(server) = server.await else {
        reset(&client);
        return;
    };
    for stream in [&client, &server] {
        // Without TCP_NODELAY only the latency is higher, so a failure is harmless.
        let _ = stream.set_nodelay(true);
    }
    let both = async {
        let forward = copy(&client, &server, modes.clone(), 0, initial.silences);
        let backward = copy(&server, &client, modes.clone(), 1, initial.silences);
        tokio::try_join!(forward, backward)
    };
    let mut resets = modes.clone();
    let is_over = tokio::select! {
        ended = both => ended.is_ok(),
        _ = resets.wait_for(|mode| mode.resets != initial.resets) => false,
    };
    if !is_over {
        reset(&client);
        reset(&server);
    }
}

/// Error: a connection broke, or the proxy ends.
struct Broken;

/// Waits until bytes may pass in one direction.
async fn wait_until_open(
    modes: &mut watch::Receiver<Mode>,
    direction: usize,
) -> Result<Mode, Broken> {
    let mode = modes.wait_for(|mode| !mode.is_cut[direction]).await;
    mode.map(|mode| mode.clone()).map_err(|_| Broken)
}

/// Forwards bytes in one direction until the sender closes it.
async fn copy(
    from: &TcpStream,
    to: &TcpStream,
    mut modes: watch::Receiver<Mode>,
    direction: usize,
    silences: u32,
) -> Result<(), Broken> {
    let mut chunk = vec![0; CHUNK_BYTES];
    loop {
        let read = read(from, &mut chunk).await;
        // A cut also holds back resets.
        let mode = wait_until_open(&mut modes, direction).await?;
        let read = read.map_err(|_| Broken)?;
        // Bytes that were held back are lost if their sender has reset the connection.
        if !matches!(SockRef::from(from).take_error(), Ok(None)) {
            return Err(Broken);
        }
        let is_silent = mode.silences != silences;
        if !is_silent {
            sleep(mode.delay).await;
            if let Some(rate) = mode.rate {
                rate.pass(read, direction).await;
            }
            write(to, &chunk[..read]).await.map_err(|_| Broken)?;
        }
        if read == 0 {
            // The other side may have closed as well, so a failure is harmless.
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

/// Makes the stream close with a TCP reset.
fn reset(stream: &TcpStream) {
    // This fails only for a connection that is already closed.
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
}
