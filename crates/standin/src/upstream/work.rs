//! Processing of a request: admission, wait for a slot, run and answer.

use std::sync::{Arc, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http::header::{CONTENT_LENGTH, CONTENT_TYPE};
use http::{HeaderValue, Request, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde_json::json;
use tokio::sync::{OnceCell, OwnedSemaphorePermit};
use tokio::time::{Instant, sleep, timeout_at};

use super::job::Job;
use super::{Damage, Shed, Upstream};
use crate::answer::{Answer, End, Padding, StreamedBody};
use crate::tamper::Tamper;

const RETRY_SECONDS: u64 = 1;
const CHUNK_BYTES: usize = 16 << 10;

/// Run of a request with an `Idempotency-Key`, shared by its repetitions.
#[derive(Debug)]
pub(crate) struct IdempotentRun {
    body_sha256: String,
    contents: OnceCell<Bytes>,
}

/// How a run ended.
#[derive(Clone, Debug)]
enum Outcome {
    /// The run finished with these contents.
    Done(Bytes),
    /// The deadline passed during the run, and the run was cancelled.
    DeadlineExceeded,
    /// The `Idempotency-Key` was already used with another body.
    Mismatch,
}

impl Upstream {
    pub(crate) async fn work(
        self: Arc<Self>,
        request: Request<Incoming>,
        tamper: Tamper,
    ) -> Answer {
        let job = match Job::receive(request).await {
            Ok(job) => job,
            Err(refusal) => return *refusal,
        };
        if let Some(refusal) = self.refusal(&job) {
            return refusal;
        }
        let Some(slot) = self.slot(&job).await else {
            return self.shed();
        };
        self.wait_until_unfrozen().await;
        // The grant may have expired while the request waited.
        if let Some(refusal) = self.refusal(&job) {
            return refusal;
        }
        match self.clone().run_or_reuse(&job).await {
            Outcome::Done(contents) => self.reply(&job, contents, slot, &tamper),
            Outcome::DeadlineExceeded => Answer::status(StatusCode::GATEWAY_TIMEOUT),
            Outcome::Mismatch => Answer::status(StatusCode::UNPROCESSABLE_ENTITY),
        }
    }

    /// Returns the refusal of a request that must not run, or `None` if it may run.
    fn refusal(&self, job: &Job) -> Option<Answer> {
        let faults = self.faults.borrow();
        if faults.draining || faults.shed == Shed::All {
            return Some(self.shed());
        }
        if !self.grants().owns(job.grant) {
            self.counters.get().not_owned += 1;
            return Some(not_run(Answer::status(StatusCode::MISDIRECTED_REQUEST)));
        }
        None
    }

    fn shed(&self) -> Answer {
        self.counters.get().shed += 1;
        not_run(Answer::busy(StatusCode::SERVICE_UNAVAILABLE, RETRY_SECONDS))
    }

    /// Waits for a free slot. Returns `None` if none is free before the deadline, or
    /// at once if the upstream sheds load while busy.
    async fn slot(&self, job: &Job) -> Option<OwnedSemaphorePermit> {
        let slots = self.slots.clone();
        if self.faults.borrow().shed == Shed::Busy {
            return slots.try_acquire_owned().ok();
        }
        let wait = slots.acquire_owned();
        let slot = match job.deadline {
            Some(deadline) => timeout_at(deadline, wait).await.ok()?,
            None => wait.await,
        };
        slot.ok()
    }

    async fn run_or_reuse(self: Arc<Self>, job: &Job) -> Outcome {
        match &job.idempotency_key {
            Some(key) if self.config.checks_idempotency => {
                let shared_run = self.idempotent_run(key, job);
                self.run_once(shared_run, job.clone()).await
            }
            _ => self.run(job).await,
        }
    }

    fn idempotent_run(&self, key: &str, job: &Job) -> Arc<IdempotentRun> {
        let mut answers = self.answers.lock().unwrap_or_else(PoisonError::into_inner);
        let shared_run = answers.entry(key.to_owned()).or_insert_with(|| {
            Arc::new(IdempotentRun {
                body_sha256: job.body_sha256.clone(),
                contents: OnceCell::new(),
            })
        });
        shared_run.clone()
    }

    /// Runs in a separate task, so that a closed connection doesn't cancel the run.
    async fn run_once(self: Arc<Self>, shared_run: Arc<IdempotentRun>, job: Job) -> Outcome {
        if shared_run.body_sha256 != job.body_sha256 {
            return Outcome::Mismatch;
        }
        let run = async move {
            let contents = shared_run
                .contents
                .get_or_init(|| self.run_to_completion(&job))
                .await;
            Outcome::Done(contents.clone())
        };
        let outcome = tokio::spawn(run).await;
        outcome.expect("the run of a request must not panic")
    }

    async fn run(&self, job: &Job) -> Outcome {
        match job.deadline {
            Some(deadline) if job.idempotency_key.is_none() => {
                let run = timeout_at(deadline, self.run_to_completion(job)).await;
                run.map_or(Outcome::DeadlineExceeded, Outcome::Done)
            }
            _ => Outcome::Done(self.run_to_completion(job).await),
        }
    }

    /// Runs the request and returns the contents of the answer.
    async fn run_to_completion(&self, job: &Job) -> Bytes {
        let key = job.idempotency_key.as_deref();
        let (run, count) = self.counters.begin(key, &job.request_id);
        sleep(self.work_time(job)).await;
        self.wait_until_unfrozen().await;
        run.finish();
        let contents = json!({
            "upstream": self.config.name,
            "method": job.method,
            "path": job.path,
            "request_id": job.request_id,
            "idempotency_key": job.idempotency_key,
            "shard": job.grant.shard,
            "epoch": job.grant.epoch,
            "count": count,
            "body_bytes": job.body_bytes,
            "body_sha256": job.body_sha256,
        });
        format!("{contents}\n").into()
    }

    fn work_time(&self, job: &Job) -> Duration {
        let faults = self.faults.borrow();
        let mut work_ms = faults.service_ms;
        let age = Instant::now() - self.started;
        if age < Duration::from_millis(faults.cold_start_ms) {
            work_ms += faults.cold_extra_ms;
        }
        job.options.work.unwrap_or(Duration::from_millis(work_ms))
    }

    fn reply(
        &self,
        job: &Job,
        contents: Bytes,
        slot: OwnedSemaphorePermit,
        tamper: &Tamper,
    ) -> Answer {
        let damage = job.options.damage.unwrap_or(self.faults.borrow().damage);
        match damage {
            Damage::Lost => return Answer::Disconnect,
            Damage::Garbage => tamper.garble_next(),
            Damage::Twice => tamper.repeat_next(),
            Damage::None | Damage::Close | Damage::Short | Damage::Other => {}
        }
        let own = (contents, job.request_id.clone());
        let mut last_answer = self
            .last_answer
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let before = std::mem::replace(&mut *last_answer, own.clone());
        let (contents, request_id) = if damage == Damage::Other { before } else { own };
        let answer = stream(job, contents, &request_id, slot, damage);
        match damage {
            Damage::Garbage => answer.with_header("connection", "close"),
            _ => answer,
        }
    }
}

fn not_run(answer: Answer) -> Answer {
    answer.with_header("eelgrassrock-outcome", "not-run")
}

/// Returns the contents as an answer, padded with lines of the request identifier
/// up to the requested size.
fn stream(
    job: &Job,
    contents: Bytes,
    request_id: &str,
    slot: OwnedSemaphorePermit,
    damage: Damage,
) -> Answer {
    let whole_bytes = job.options.answer_bytes.max(contents.len() as u64);
    let (end, sent_bytes) = match damage {
        Damage::Close => (End::Broken, whole_bytes / 2),
        Damage::Short => (End::Short, whole_bytes / 2),
        _ => (End::Whole, whole_bytes),
    };
    let head_bytes = contents
        .len()
        .min(usize::try_from(sent_bytes).unwrap_or(usize::MAX));
    let padding = Padding {
        pattern: pattern(request_id),
        left: sent_bytes - head_bytes as u64,
    };
    let body = StreamedBody::new(contents.slice(..head_bytes), padding, end, slot);
    let mut response = Response::new(body.boxed());
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    if let Ok(id) = HeaderValue::from_str(request_id) {
        headers.insert("eelgrassrock-request-id", id);
    }
    if damage == Damage::Short {
        headers.insert(CONTENT_LENGTH, whole_bytes.into());
    }
    Answer::Reply(response)
}

fn pattern(request_id: &str) -> Bytes {
    let line = format!("{request_id}\n");
    line.repeat(CHUNK_BYTES / line.len() + 1).into()
}
