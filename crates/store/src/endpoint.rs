//! One address and the connections to it: whole answers within stated times.

use std::io;
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http::header::{CONTENT_TYPE, HOST, RETRY_AFTER};
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::timeout;

use crate::settings::Settings;
use crate::{Fault, Kind};

const MAX_RETRY_AFTER_SECONDS: u64 = 60;

type Connection = http1::SendRequest<Full<Bytes>>;

/// One address of the platform.
///
/// A connection is kept for later calls only after a whole answer. If a call
/// fails or its future is dropped, its connection is closed.
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
}

/// Request of one call.
#[derive(Clone, Debug)]
pub struct Call {
    /// Method of the request.
    pub method: Method,
    /// Path and query of the request.
    pub path: String,
    /// Header fields beside those that every call has.
    pub headers: HeaderMap,
    /// Whole body of the request.
    pub body: Bytes,
}

/// Whole answer to a call.
#[derive(Clone, Debug)]
pub struct Answer {
    /// Status of the answer.
    pub status: StatusCode,
    /// Header fields of the answer.
    pub headers: HeaderMap,
    /// Time after which a refused call may be tried again.
    pub retry_after: Option<Duration>,
    /// Whole body of the answer.
    pub body: Bytes,
}

impl Endpoint {
    /// Creates an endpoint. It connects when the first call is made.
    pub fn new(address: SocketAddr, settings: Settings) -> Self {
        Self {
            address,
            settings,
            idle: Mutex::default(),
        }
    }

    /// Makes a call and returns the whole answer.
    ///
    /// # Errors
    ///
    /// Returns [`Fault`] if no whole answer came within the limits. Only
    /// [`Kind::Unreachable`] proves that nothing was sent.
    pub async fn call(&self, call: &Call) -> Result<Answer, Fault> {
        let result = self.answer(call).await;
        result.map_err(|kind| self.fault(call, kind))
    }

    /// Returns the error of a call that was answered impossibly.
    pub fn fault(&self, call: &Call, kind: Kind) -> Fault {
        let call = format!("{} {} at {}", call.method, call.path, self.address);
        Fault {
            call: call.into(),
            kind,
        }
    }

    async fn answer(&self, call: &Call) -> Result<Answer, Kind> {
        while let Some(connection) = self.take_idle() {
            if let Some(answer) = self.exchange(connection, call).await? {
                return Ok(answer);
            }
        }
        let connection = self.connect().await?;
        let answer = self.exchange(connection, call).await?;
        answer.ok_or_else(|| Kind::Unreachable("closed before the request".into()))
    }

    /// Returns `None` if nothing was sent.
    async fn exchange(
        &self,
        mut connection: Connection,
        call: &Call,
    ) -> Result<Option<Answer>, Kind> {
        let limit = self.settings.timeout;
        let answer = timeout(limit, self.send_and_collect(&mut connection, call))
            .await
            .unwrap_or(Err(Kind::Timeout(limit)))?;
        if answer.is_some() {
            self.keep(connection);
        }
        Ok(answer)
    }

    async fn send_and_collect(
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
        let retry_after = parts.headers.get(RETRY_AFTER).and_then(parse_seconds);
        Ok(Some(Answer {
            status: parts.status,
            headers: parts.headers,
            retry_after,
            body,
        }))
    }

    async fn connect(&self) -> Result<Connection, Kind> {
        let limit = self.settings.connect_timeout;
        timeout(limit, self.establish())
            .await
            .unwrap_or(Err(Kind::Unreachable("timeout of the connection".into())))
    }

    async fn establish(&self) -> Result<Connection, Kind> {
        let stream = self
            .open()
            .await
            .map_err(|error| Kind::Unreachable(error.to_string().into()))?;
        // Without these options, calls take longer but stay correct.
        let _ = stream.set_nodelay(true);
        let _ = detect_silence(&stream, self.settings.silence);
        let (sender, driver) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|error| Kind::Unreachable(error.to_string().into()))?;
        // The exchange reports what breaks the connection.
        tokio::spawn(async move { driver.await.unwrap_or_default() });
        Ok(sender)
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

    fn keep(&self, connection: Connection) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        if idle.len() < self.settings.max_idle_connections && !connection.is_closed() {
            idle.push(connection);
        }
    }
}

impl Call {
    /// Creates a call that sends a JSON body.
    pub fn post(path: impl Into<String>, body: impl Into<Bytes>) -> Self {
        Self {
            method: Method::POST,
            path: path.into(),
            headers: HeaderMap::new(),
            body: body.into(),
        }
    }

    /// Adds a header field.
    pub fn header(mut self, name: HeaderName, value: HeaderValue) -> Self {
        self.headers.insert(name, value);
        self
    }

    /// Creates a call without a body.
    pub fn get(path: impl Into<String>) -> Self {
        Self {
            method: Method::GET,
            path: path.into(),
            headers: HeaderMap::new(),
            body: Bytes::new(),
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
            .expect("paths are made of checked keys, digests and numbers");
        request.headers_mut().extend(self.headers.clone());
        request
    }
}

impl Answer {
    /// Returns the time to wait if the service refused the call for now.
    pub fn busy(&self) -> Option<Duration> {
        let refused = [
            StatusCode::TOO_MANY_REQUESTS,
            StatusCode::SERVICE_UNAVAILABLE,
        ];
        self.retry_after.filter(|_| refused.contains(&self.status))
    }

    /// Returns the error for a status that isn't among those of the call.
    pub fn refusal(&self) -> Kind {
        match self.busy() {
            Some(retry_after) => Kind::Busy { retry_after },
            None => Kind::Status(self.status.as_u16()),
        }
    }
}

/// Makes the system end a connection whose other side is silent for `limit`.
///
/// # Errors
///
/// Fails if the system refuses an option.
pub fn detect_silence(stream: &TcpStream, limit: Duration) -> std::io::Result<()> {
    let socket = SockRef::from(stream);
    let interval = (limit / 3).max(Duration::from_secs(1));
    let probes = TcpKeepalive::new()
        .with_time(interval)
        .with_interval(interval)
        .with_retries(2);
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(limit))
}

/// Returns `None` if nothing was sent.
async fn send(
    connection: &mut Connection,
    request: Request<Full<Bytes>>,
) -> Result<Option<Response<Incoming>>, Kind> {
    if connection.ready().await.is_err() {
        return Ok(None);
    }
    match connection.try_send_request(request).await {
        Ok(response) => Ok(Some(response)),
        // The request comes back only if no byte of it was sent.
        Err(mut error) => match error.take_message() {
            Some(_) => Ok(None),
            None => Err(lost(&error.into_error())),
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

/// A text that isn't HTTP is an impossible answer, anything else a loss.
fn lost(error: &hyper::Error) -> Kind {
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
