//! One address of the platform and the connections to it.

use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http::header::{CONTENT_TYPE, HOST, RETRY_AFTER};
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::settings::Settings;
use crate::{Fault, Kind};

const MAX_RETRY_AFTER_SECONDS: u64 = 60;

type Connection = http1::SendRequest<Full<Bytes>>;

/// One address of the platform.
///
/// A connection is kept for later calls only after a whole answer. If a call
/// fails or its future is dropped, its connection is closed.
#[derive(Debug)]
pub(crate) struct Endpoint {
    address: SocketAddr,
    settings: Settings,
    idle: Mutex<Vec<Connection>>,
}

/// Request of one call.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    pub(crate) method: Method,
    pub(crate) path: String,
    pub(crate) body: Bytes,
}

/// Whole answer to a call.
#[derive(Clone, Debug)]
pub(crate) struct Answer {
    pub(crate) status: StatusCode,
    pub(crate) retry_after: Option<Duration>,
    pub(crate) body: Bytes,
}

impl Endpoint {
    pub(crate) fn new(address: SocketAddr, settings: Settings) -> Self {
        Self {
            address,
            settings,
            idle: Mutex::default(),
        }
    }

    /// Makes a call and returns the whole answer.
    pub(crate) async fn call(&self, call: &Call) -> Result<Answer, Fault> {
        let result = self.answer(call).await;
        result.map_err(|kind| self.fault(call, kind))
    }

    /// Returns the error of a call that was answered impossibly.
    pub(crate) fn fault(&self, call: &Call, kind: Kind) -> Fault {
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
        let stream = TcpStream::connect(self.address)
            .await
            .map_err(|error| Kind::Unreachable(error.to_string().into()))?;
        // Delayed packets cost only latency, so a failure is harmless.
        let _ = stream.set_nodelay(true);
        let (sender, driver) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|error| Kind::Unreachable(error.to_string().into()))?;
        // The exchange reports what breaks the connection.
        tokio::spawn(async move { driver.await.unwrap_or_default() });
        Ok(sender)
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
    pub(crate) fn get(path: impl Into<String>) -> Self {
        Self {
            method: Method::GET,
            path: path.into(),
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
        builder
            .body(Full::new(self.body.clone()))
            .expect("paths are made of checked keys, digests and numbers")
    }
}

impl Answer {
    /// Returns the time to wait if the service refused the call for now.
    pub(crate) fn busy(&self) -> Option<Duration> {
        let refused = [
            StatusCode::TOO_MANY_REQUESTS,
            StatusCode::SERVICE_UNAVAILABLE,
        ];
        self.retry_after.filter(|_| refused.contains(&self.status))
    }

    /// Returns the error for a status that isn't among those of the call.
    pub(crate) fn refusal(&self) -> Kind {
        match self.busy() {
            Some(retry_after) => Kind::Busy { retry_after },
            None => Kind::Status(self.status.as_u16()),
        }
    }
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
