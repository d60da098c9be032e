//! Faults that the platform's stand-ins share, and the admin port that sets them.

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
use crate::tamper::Tamper;

const MAX_FAULTS_BYTES: usize = 1 << 20;
const OUTAGE_RETRY_SECONDS: u64 = 1;

/// Kind of outage of a platform service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outage {
    /// The service works.
    #[default]
    None,
    /// The service refuses requests with 503.
    Refuse,
    /// The service doesn't answer. When the outage ends, the connection is closed.
    Hang,
    /// The service closes the connection without an answer.
    Close,
}

/// Faults that all services of the platform support.
pub(crate) trait ServiceFaults: Clone + Default + Send + Sync + 'static {
    fn outage(&self) -> Outage;
    fn delay(&self) -> Duration;
}

/// Applies the configured delay. Returns the answer to give if there is an outage.
pub(crate) async fn apply_outage<F: ServiceFaults>(faults: &watch::Sender<F>) -> Option<Answer> {
    let delay = faults.borrow().delay();
    tokio::time::sleep(delay).await;
    let outage = faults.borrow().outage();
    match outage {
        Outage::None => None,
        Outage::Close => Some(Answer::Disconnect),
        Outage::Refuse => {
            let status = StatusCode::SERVICE_UNAVAILABLE;
            Some(Answer::busy(status, OUTAGE_RETRY_SECONDS))
        }
        Outage::Hang => {
            let mut changes = faults.subscribe();
            let _ = changes.wait_for(|now| now.outage() != Outage::Hang).await;
            Some(Answer::Disconnect)
        }
    }
}

/// Decrements a fault counter. Returns `false` if the counter was already zero.
pub(crate) fn consume<F>(faults: &watch::Sender<F>, count: impl Fn(&mut F) -> &mut u32) -> bool {
    let mut consumed = false;
    faults.send_modify(|faults| {
        let count = count(faults);
        consumed = *count > 0;
        *count = count.saturating_sub(1);
    });
    consumed
}

/// Server whose state can be read and whose faults can be set on an admin port.
pub(crate) trait Admin: Send + Sync + 'static {
    type Faults: DeserializeOwned + Serialize + Send;

    fn faults(&self) -> Self::Faults;
    fn set_faults(&self, faults: Self::Faults);

    /// Answers a `GET` request for a path other than `/faults`.
    fn report(&self, _path: &str) -> Answer {
        Answer::status(StatusCode::NOT_FOUND)
    }
}

/// Handler of the admin port. `GET /faults` returns the faults, and `POST /faults`
/// replaces them all.
pub(crate) struct AdminHandler<A>(pub(crate) Arc<A>);

impl<A: Admin> Handler for AdminHandler<A> {
    async fn handle(self: Arc<Self>, request: Request<Incoming>, _tamper: Tamper) -> Answer {
        let path = request.uri().path().to_owned();
        match (request.method(), path.as_str()) {
            (&Method::GET, "/faults") => Answer::json(StatusCode::OK, &self.0.faults()),
            (&Method::POST, "/faults") => self.replace(request.into_body()).await,
            (&Method::GET, path) => self.0.report(path),
            _ => Answer::status(StatusCode::METHOD_NOT_ALLOWED),
        }
    }
}

impl<A: Admin> AdminHandler<A> {
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
