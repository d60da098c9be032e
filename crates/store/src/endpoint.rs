//! HTTP/1 client of one address, with a connection pool and limits on time and size.

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::header::{CONTENT_TYPE, HOST, RETRY_AFTER};
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, Response, StatusCode, response};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::{TcpSocket, TcpStream};
use tokio::task::JoinHandle;
use tokio::time::timeout;

use crate::settings::Settings;
use crate::{Fault, Kind};

/// Longest time for the body of an answer that arrives without a long pause.
const MAX_BODY_TIME: Duration = Duration::from_secs(30);
/// Longest delay that a `Retry-After` header can ask for; longer ones are cut to it.
const MAX_RETRY_AFTER_SECONDS: u64 = 60;

/// Connection to the address. Dropping it closes it at once.
#[derive(Debug)]
pub(crate) struct Connection {
    sender: http1::SendRequest<Full<Bytes>>,
    driver: JoinHandle<()>,
}

impl Connection {
    pub(crate) fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// How a connection is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Close {
    /// Bytes that were written are still delivered.
    Graceful,
    /// Bytes that haven't arrived are discarded, also if the process is killed.
    Reset,
}

/// HTTP client of one address of the platform.
///
/// A connection returns to the pool only after a complete answer. If a call
/// fails or its future is dropped, its connection is closed, so that a late
/// answer can't be taken for the answer to the next call.
///
/// ```
/// use eelgrassrock_store::endpoint::{Call, Endpoint};
/// use eelgrassrock_store::settings::Settings;
///
/// # async fn example() -> Result<(), eelgrassrock_store::Fault> {
/// let endpoint = Endpoint::new(([127, 0, 0, 1], 7001).into(), Settings::default());
/// let answer = endpoint.call(&Call::get("/v1/rows/home")).await?;
/// println!("{}", answer.status);
/// # Ok(())
/// # }
/// ```
#[derive(Debug)]
pub struct Endpoint {
    address: SocketAddr,
    settings: Settings,
    idle: Mutex<Vec<Connection>>,
    /// Number of answers that have begun and aren't complete.
    arriving: AtomicUsize,
}

/// Counts an answer as arriving until it is dropped.
struct Arriving<'a>(&'a AtomicUsize);

impl<'a> Arriving<'a> {
    fn new(count: &'a AtomicUsize) -> Self {
        count.fetch_add(1, Ordering::Relaxed);
        Self(count)
    }
}

impl Drop for Arriving<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Request to send to an [`Endpoint`].
#[derive(Clone, Debug)]
pub struct Call {
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Header fields besides `Host` and, in a POST, `Content-Type`, which are always sent.
    pub headers: HeaderMap,
    /// Body, sent as a whole.
    pub body: Bytes,
    /// Timeout of this call in place of that of the settings.
    pub timeout: Option<Duration>,
}

/// Complete answer to a call.
#[derive(Clone, Debug)]
pub struct Answer {
    /// HTTP status.
    pub status: StatusCode,
    /// Header fields, including `Retry-After`.
    pub headers: HeaderMap,
    /// Delay from the `Retry-After` header, at most 60 s, or `None` if the header is absent
    /// or isn't a number of seconds.
    pub retry_after: Option<Duration>,
    /// Complete body, at most as long as the settings allow.
    pub body: Bytes,
}

impl Endpoint {
    /// Creates an endpoint. It connects when the first call is made.
    pub fn new(address: SocketAddr, settings: Settings) -> Self {
        Self {
            address,
            settings,
            idle: Mutex::default(),
            arriving: AtomicUsize::new(0),
        }
    }

    /// Whether any answer has begun and isn't complete, if the settings bound its pauses.
    ///
    /// ```
    /// use eelgrassrock_store::endpoint::Endpoint;
    /// use eelgrassrock_store::settings::Settings;
    ///
    /// let endpoint = Endpoint::new(([127, 0, 0, 1], 7001).into(), Settings::default());
    /// assert!(!endpoint.is_receiving());
    /// ```
    pub fn is_receiving(&self) -> bool {
        self.arriving.load(Ordering::Relaxed) > 0
    }

    /// Sends a request and returns the complete answer, whatever its status.
    ///
    /// # Errors
    ///
    /// Returns [`Fault`] if no complete answer arrives within the limits. Only
    /// [`Kind::Unreachable`] proves that nothing was sent.
    pub async fn call(&self, call: &Call) -> Result<Answer, Fault> {
        let result = self.try_call(call).await;
        result.map_err(|kind| self.fault(call, kind))
    }

    /// Returns an error of the given kind that names the method, path and address of the call.
    pub fn fault(&self, call: &Call, kind: Kind) -> Fault {
        let call = format!("{} {} at {}", call.method, call.path, self.address);
        Fault {
            call: call.into(),
            kind,
        }
    }

    /// Tries the idle connections first. One that was closed before any byte of the request was
    /// sent is skipped.
    async fn try_call(&self, call: &Call) -> Result<Answer, Kind> {
        while let Some(connection) = self.take_idle() {
            if let Some(answer) = self.exchange(connection, call).await? {
                return Ok(answer);
            }
        }
        let connection = self.connect(Close::Graceful).await?;
        let answer = self.exchange(connection, call).await?;
        answer.ok_or_else(|| Kind::Unreachable("closed before the request was sent".into()))
    }

    /// Sends the call over `connection`. Returns `None` if the connection was closed before any
    /// byte of the request was sent.
    async fn exchange(
        &self,
        mut connection: Connection,
        call: &Call,
    ) -> Result<Option<Answer>, Kind> {
        let limit = call.timeout.unwrap_or(self.settings.timeout);
        let answer = match self.settings.stall_timeout {
            None => within(limit, self.send_and_collect(&mut connection, call)).await?,
            Some(stall_limit) => {
                let request = call.request(self.address);
                let begun = within(limit, send(&mut connection, request)).await?;
                match begun {
                    Some(response) => Some(self.collect_steadily(response, stall_limit).await?),
                    None => None,
                }
            }
        };
        if answer.is_some() {
            self.put_idle(connection);
        }
        Ok(answer)
    }

    pub(crate) async fn send_and_collect(
        &self,
        connection: &mut Connection,
        call: &Call,
    ) -> Result<Option<Answer>, Kind> {
        let request = call.request(self.address);
        let Some(response) = send(connection, request).await? else {
            return Ok(None);
        };
        let (parts, body) = response.into_parts();
        let body = collect(body, self.settings.max_body_bytes).await?;
        Ok(Some(Answer::new(parts, body)))
    }

    /// Collects the body of an answer as long as none of its pauses exceeds `stall_limit`.
    async fn collect_steadily(
        &self,
        response: Response<Incoming>,
        stall_limit: Duration,
    ) -> Result<Answer, Kind> {
        let _arriving = Arriving::new(&self.arriving);
        let (parts, body) = response.into_parts();
        let limit = self.settings.max_body_bytes;
        let mut body = Limited::new(body, limit);
        let mut bytes = BytesMut::new();
        let frames = async {
            while let Some(frame) = within(stall_limit, async { Ok(body.frame().await) }).await? {
                let frame = frame.map_err(|error| match error.is::<LengthLimitError>() {
                    true => Kind::Oversized { limit },
                    false => Kind::Lost(error.to_string().into()),
                })?;
                if let Some(data) = frame.data_ref() {
                    bytes.extend_from_slice(data);
                }
            }
            Ok(())
        };
        within(MAX_BODY_TIME, frames).await?;
        Ok(Answer::new(parts, bytes.freeze()))
    }

    /// Opens a connection outside the pool that is reset when it is dropped.
    pub(crate) async fn connect_resetting(&self) -> Result<Connection, Kind> {
        self.connect(Close::Reset).await
    }

    async fn connect(&self, close: Close) -> Result<Connection, Kind> {
        let limit = self.settings.connect_timeout;
        timeout(limit, self.establish(close))
            .await
            .unwrap_or(Err(Kind::Unreachable("connecting timed out".into())))
    }

    async fn establish(&self, close: Close) -> Result<Connection, Kind> {
        let stream = self
            .open()
            .await
            .map_err(|error| Kind::Unreachable(error.to_string().into()))?;
        if close == Close::Reset {
            SockRef::from(&stream)
                .set_linger(Some(Duration::ZERO))
                .map_err(|error| Kind::Unreachable(error.to_string().into()))?;
        }
        // A failure to set either option is ignored: calls may take longer without them, but
        // their results stay correct.
        let _ = stream.set_nodelay(true);
        let _ = set_keepalive(&stream, self.settings.keepalive_timeout);
        let mut builder = http1::Builder::new();
        if let Some(bytes) = self.settings.max_buffer_bytes {
            builder.max_buf_size(bytes);
        }
        let (sender, driver) = builder
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|error| Kind::Unreachable(error.to_string().into()))?;
        // The error is ignored here: the exchange on this connection reports it.
        let driver = tokio::spawn(async move { driver.await.unwrap_or_default() });
        Ok(Connection { sender, driver })
    }

    async fn open(&self) -> io::Result<TcpStream> {
        let Some(local) = self.settings.local_address else {
            return TcpStream::connect(self.address).await;
        };
        let socket = if self.address.is_ipv4() {
            TcpSocket::new_v4()?
        } else {
            TcpSocket::new_v6()?
        };
        socket.bind(SocketAddr::new(local, 0))?;
        socket.connect(self.address).await
    }

    fn take_idle(&self) -> Option<Connection> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.pop()
    }

    fn put_idle(&self, connection: Connection) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        if idle.len() < self.settings.max_idle_connections && !connection.is_closed() {
            idle.push(connection);
        }
    }
}

impl Call {
    /// Creates a POST call with a JSON body.
    pub fn post(path: impl Into<String>, body: impl Into<Bytes>) -> Self {
        Self {
            method: Method::POST,
            path: path.into(),
            headers: HeaderMap::new(),
            body: body.into(),
            timeout: None,
        }
    }

    /// Sets a timeout for this call in place of that of the settings.
    pub fn timeout(mut self, timeout: Duration) -> Self {
        self.timeout = Some(timeout);
        self
    }

    /// Sets a header field and replaces an earlier value of the same name.
    pub fn header(mut self, name: HeaderName, value: HeaderValue) -> Self {
        self.headers.insert(name, value);
        self
    }

    /// Creates a GET call without a body.
    pub fn get(path: impl Into<String>) -> Self {
        Self {
            method: Method::GET,
            path: path.into(),
            headers: HeaderMap::new(),
            body: Bytes::new(),
            timeout: None,
        }
    }

    fn request(&self, address: SocketAddr) -> Request<Full<Bytes>> {
        let mut builder = Request::builder()
            .method(self.method.clone())
            .uri(&self.path)
            .header(HOST, address.to_string());
        if self.method == Method::POST {
            builder = builder.header(CONTENT_TYPE, "application/json");
        }
        let mut request = builder
            .body(Full::new(self.body.clone()))
            .expect("a path consists of checked keys, digests and numbers");
        request.headers_mut().extend(self.headers.clone());
        request
    }
}

impl Answer {
    fn new(parts: response::Parts, body: Bytes) -> Self {
        Self {
            status: parts.status,
            retry_after: parts.headers.get(RETRY_AFTER).and_then(parse_seconds),
            headers: parts.headers,
            body,
        }
    }

    /// Returns the delay before a retry if the service refused the call temporarily: with status
    /// 429 or 503 and a `Retry-After` header.
    pub fn retry_delay(&self) -> Option<Duration> {
        let temporary_refusals = [
            StatusCode::TOO_MANY_REQUESTS,
            StatusCode::SERVICE_UNAVAILABLE,
        ];
        self.retry_after
            .filter(|_| temporary_refusals.contains(&self.status))
    }

    /// Returns the error for a status that the caller doesn't handle: [`Kind::Busy`] for a
    /// temporary refusal, otherwise [`Kind::Status`].
    pub fn refusal(&self) -> Kind {
        match self.retry_delay() {
            Some(retry_after) => Kind::Busy { retry_after },
            None => Kind::Status(self.status.as_u16()),
        }
    }
}

/// Makes the operating system close a connection whose peer doesn't respond for
/// `limit`, by TCP keep-alive probes and the TCP user timeout.
///
/// # Errors
///
/// Fails if the operating system refuses a socket option.
pub fn set_keepalive(stream: &TcpStream, limit: Duration) -> std::io::Result<()> {
    let socket = SockRef::from(stream);
    let interval = (limit / 3).max(Duration::from_secs(1));
    let probes = TcpKeepalive::new()
        .with_time(interval)
        .with_interval(interval)
        .with_retries(2);
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(limit))
}

async fn within<T>(
    limit: Duration,
    step: impl Future<Output = Result<T, Kind>>,
) -> Result<T, Kind> {
    timeout(limit, step)
        .await
        .unwrap_or(Err(Kind::Timeout(limit)))
}

/// Returns `None` if the connection was closed before any byte of the request was sent.
async fn send(
    connection: &mut Connection,
    request: Request<Full<Bytes>>,
) -> Result<Option<Response<Incoming>>, Kind> {
    let sender = &mut connection.sender;
    if sender.ready().await.is_err() {
        return Ok(None);
    }
    match sender.try_send_request(request).await {
        Ok(response) => Ok(Some(response)),
        // hyper returns the request only if no byte of it was sent.
        Err(mut error) => match error.take_message() {
            Some(_) => Ok(None),
            None => Err(exchange_error(&error.into_error())),
        },
    }
}

async fn collect(body: Incoming, limit: usize) -> Result<Bytes, Kind> {
    match Limited::new(body, limit).collect().await {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => Err(Kind::Oversized { limit }),
        Err(error) => Err(Kind::Lost(error.to_string().into())),
    }
}

/// Classifies an error after the request may have been sent: an answer that isn't valid HTTP is
/// malformed, and any other error means that the connection was lost.
fn exchange_error(error: &hyper::Error) -> Kind {
    if error.is_parse() {
        Kind::malformed(error.to_string())
    } else {
        Kind::Lost(error.to_string().into())
    }
}

fn parse_seconds(value: &http::HeaderValue) -> Option<Duration> {
    let seconds: u64 = value.to_str().ok()?.parse().ok()?;
    Some(Duration::from_secs(seconds.min(MAX_RETRY_AFTER_SECONDS)))
}
