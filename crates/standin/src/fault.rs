//! Faults that the stand-ins have in common, and the port that takes them.

use std::sync::Arc;
use std::time::Duration;

use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::json;
use tokio::sync::watch;

use crate::answer::Answer;
use crate::serve::Handler;
use crate::tamper::Line;

const MAX_FAULTS_BYTES: usize = 1 << 20;
const OUTAGE_RETRY_SECONDS: u64 = 1;

/// How a service of the platform is out of order.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outage {
    /// It works.
    #[default]
    None,
    /// It refuses with 503.
    Refuse,
    /// It doesn't answer. When the outage ends, the connection is closed.
    Hang,
    /// It closes the connection.
    Close,
}

/// Faults that every service of the platform can have.
pub(crate) trait Common: Clone + Default + Send + Sync + 'static {
    fn outage(&self) -> Outage;
    fn slow(&self) -> Duration;
}

/// Waits out slowness. Returns an answer if the service is out of order.
pub(crate) async fn gate<F: Common>(faults: &watch::Sender<F>) -> Option<Answer> {
    let slow = faults.borrow().slow();
    tokio::time::sleep(slow).await;
    let outage = faults.borrow().outage();
    match outage {
        Outage::None => None,
        Outage::Close => Some(Answer::Hangup),
        Outage::Refuse => {
            let status = StatusCode::SERVICE_UNAVAILABLE;
            Some(Answer::busy(status, OUTAGE_RETRY_SECONDS))
        }
        Outage::Hang => {
            let mut changes = faults.subscribe();
            let _ = changes.wait_for(|now| now.outage() != Outage::Hang).await;
            Some(Answer::Hangup)
        }
    }
}

/// Uses up one of a number of faults, and returns whether there was one.
pub(crate) fn take<F>(faults: &watch::Sender<F>, count: impl Fn(&mut F) -> &mut u32) -> bool {
    let mut taken = false;
    faults.send_modify(|faults| {
        let count = count(faults);
        taken = *count > 0;
        *count = count.saturating_sub(1);
    });
    taken
}

/// What an admin port reads and changes.
pub(crate) trait Admin: Send + Sync + 'static {
    type Faults: DeserializeOwned + Serialize + Send;

    fn faults(&self) -> Self::Faults;
    fn set_faults(&self, faults: Self::Faults);

    /// Answers a `GET` of a path other than `/faults`.
    fn report(&self, _path: &str) -> Answer {
        Answer::status(StatusCode::NOT_FOUND)
    }
}

/// Admin port: `GET /faults` shows the faults, `POST /faults` replaces them.
pub(crate) struct Desk<A>(pub(crate) Arc<A>);

impl<A: Admin> Handler for Desk<A> {
    async fn handle(self: Arc<Self>, request: Request<Incoming>, _line: Line) -> Answer {
        let path = request.uri().path().to_owned();
        match (request.method(), path.as_str()) {
            (&Method::GET, "/faults") => Answer::json(StatusCode::OK, &self.0.faults()),
            (&Method::POST, "/faults") => self.replace(request.into_body()).await,
            (&Method::GET, path) => self.0.report(path),
            _ => Answer::status(StatusCode::METHOD_NOT_ALLOWED),
        }
    }
}

impl<A: Admin> Desk<A> {
    async fn replace(&self, body: Incoming) -> Answer {
        let Ok(body) = Limited::new(body, MAX_FAULTS_BYTES).collect().await else {
            return Answer::status(StatusCode::PAYLOAD_TOO_LARGE);
        };
        match serde_json::from_slice(&body.to_bytes()) {
            Ok(faults) => {
                self.0.set_faults(faults);
                Answer::json(StatusCode::OK, &self.0.faults())
            }
            Err(error) => {
                let problem = json!({ "error": error.to_string() });
                Answer::json(StatusCode::BAD_REQUEST, &problem)
            }
        }
    }
}
