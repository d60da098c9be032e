//! Upstreams that hold keys through grants, misbehave on demand, and report to the
//! checker what they run.

mod endless;
mod orders;

use std::future::pending;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use eelgrassrock_platform_standin::framing::{
    Call, Reply, RequestHead, decode_call, decode_target, encode_reply, mark_leaving, mark_limit,
};
use http::{Request, Response};
use http_body_util::{BodyExt, Either, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use socket2::SockRef;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, watch};
use tokio::time::{Instant, sleep, timeout};

use self::endless::EndlessBody;
use crate::checker::Checker;
use crate::plan::is_deadly;

/// Number of requests that an upstream runs at the same time.
pub(crate) const SLOTS: usize = 4;
/// Maximum number of requests that wait for a slot.
const QUEUE_LENGTH: usize = 4;
/// Duration of one request.
const WORK_TIME: Duration = Duration::from_millis(80);
/// Additional duration of a request while the upstream is slow.
const SLOW_EXTRA_TIME: Duration = Duration::from_millis(400);
/// Share of the requests that an upstream fails, or whose answers it loses, replaces or
/// never ends, while it misbehaves in that way.
const FAIL_SHARE: f64 = 0.4;
/// Share of the requests that an upstream defers while it asks for pauses.
const DEFER_SHARE: f64 = 0.2;
/// Pause that an upstream asks for with a deferred request.
const DEFERRAL: Duration = Duration::from_millis(1_400);

/// Requests per second that an upstream takes from all routers while it names a limit.
const LIMIT_PER_S: f64 = 2.0;

/// Request identifier in swapped answers.
const OTHER_REQUEST_ID: &str = "r-0";

/// Ways in which an upstream misbehaves at the moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Behaviour {
    pub(crate) is_paused: bool,
    pub(crate) is_slow: bool,
    pub(crate) loses_answers: bool,
    pub(crate) fails: bool,
    pub(crate) swaps_answers: bool,
    pub(crate) is_late_with_orders: bool,
    pub(crate) announces_leaving: bool,
    pub(crate) defers: bool,
    pub(crate) is_endless: bool,
    pub(crate) names_limit: bool,
    /// Whether the upstream has ended.
    pub(crate) is_gone: bool,
    /// Whether a request has ended the upstream.
    has_crashed: bool,
}

#[derive(Clone, Copy, Debug, Default)]
struct Hold {
    token: u64,
    until: Option<Instant>,
    running: u32,
}

/// Incarnation of an upstream.
#[derive(Debug)]
pub(crate) struct Server {
    /// Number of this incarnation within the run.
    pub(crate) incarnation: usize,
    pub(crate) id: String,
    pub(crate) service: Arc<str>,
    pub(crate) address: SocketAddr,
    is_keyed: bool,
    /// Sequence number of the last registry entry of this process.
    sequence: AtomicU64,
    behaviour: watch::Sender<Behaviour>,
    /// Whether the upstream has ended. It changes while the holds are locked.
    has_ended: AtomicBool,
    holds: Mutex<Vec<Hold>>,
    random: Mutex<ChaCha8Rng>,
    slots: Semaphore,
    /// Admits the requests that run or wait for a slot.
    queue: Semaphore,
    checker: Arc<Checker>,
}

/// Request that runs on a key. Dropping it decrements the key's count.
struct Running<'a>(&'a Server, u16);

impl Running<'_> {
    /// Whether the upstream's hold of the key has expired.
    fn has_lapsed(&self) -> bool {
        let until = self.0.holds()[usize::from(self.1)].until;
        until.is_some_and(|until| Instant::now() >= until)
    }
}

impl Drop for Running<'_> {
    fn drop(&mut self) {
        self.0.holds()[usize::from(self.1)].running -= 1;
        self.0.checker.end_work(self.0.incarnation, self.1);
    }
}

/// Result of a call.
enum Outcome {
    /// This answer is sent.
    Answered(Reply),
    /// The request ran, and the answer to another request is sent.
    Swapped(Reply),
    /// The request ran, and its answer never ends.
    Endless,
    /// The connection is closed without an answer.
    Lost,
}

/// Waits until the upstream has ended, and unlocks its behaviour again.
async fn wait_until_gone(behaviour: &mut watch::Receiver<Behaviour>) {
    // The sender exists as long as its server, so this can't fail.
    let _ = behaviour.wait_for(|behaviour| behaviour.is_gone).await;
}

type Answer = Response<Either<Full<Bytes>, EndlessBody>>;

impl Server {
    pub(crate) async fn start(
        incarnation: usize,
        id: String,
        service: &Arc<str>,
        is_keyed: bool,
        seed: u64,
        checker: &Arc<Checker>,
    ) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let keys = usize::from(u16::MAX) + 1;
        let server = Arc::new(Self {
            incarnation,
            id,
            service: Arc::clone(service),
            address: listener.local_addr()?,
            is_keyed,
            sequence: AtomicU64::new(0),
            behaviour: watch::Sender::new(Behaviour::default()),
            has_ended: AtomicBool::new(false),
            holds: Mutex::new(vec![Hold::default(); if is_keyed { keys } else { 0 }]),
            random: Mutex::new(ChaCha8Rng::seed_from_u64(seed ^ incarnation as u64)),
            slots: Semaphore::new(SLOTS),
            queue: Semaphore::new(SLOTS + QUEUE_LENGTH),
            checker: Arc::clone(checker),
        });
        tokio::spawn(Arc::clone(&server).accept(listener));
        Ok(server)
    }

    /// Misbehaves in one way for `span`.
    pub(crate) async fn misbehave_for(
        &self,
        span: Duration,
        behaviour: impl Fn(&mut Behaviour) -> &mut bool,
    ) {
        self.behaviour.send_modify(|all| *behaviour(all) = true);
        sleep(span).await;
        self.behaviour.send_modify(|all| *behaviour(all) = false);
    }

    /// Ends the upstream: its port closes, and it holds no keys.
    pub(crate) fn end(&self) {
        {
            let _holds = self.holds();
            self.has_ended.store(true, Ordering::Relaxed);
            self.checker.end(self.incarnation);
        }
        self.behaviour
            .send_modify(|behaviour| behaviour.is_gone = true);
    }

    /// Returns the sequence number of the next registry entry of this process.
    pub(crate) fn next_sequence(&self) -> u64 {
        self.sequence.fetch_add(1, Ordering::Relaxed) + 1
    }

    pub(crate) fn is_running(&self) -> bool {
        !self.behaviour.borrow().is_gone
    }

    /// Whether a request has ended the upstream.
    pub(crate) fn has_crashed(&self) -> bool {
        self.behaviour.borrow().has_crashed
    }

    fn holds(&self) -> MutexGuard<'_, Vec<Hold>> {
        self.holds.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn draw(&self) -> f64 {
        let mut random = self.random.lock().unwrap_or_else(PoisonError::into_inner);
        random.random()
    }

    async fn accept(self: Arc<Self>, listener: TcpListener) {
        let mut behaviour = self.behaviour.subscribe();
        loop {
            tokio::select! {
                accepted = listener.accept() => match accepted {
                    Ok((stream, _)) => drop(tokio::spawn(Arc::clone(&self).serve(stream))),
                    Err(error) => panic!("an upstream failed to accept a connection: {error}"),
                },
                () = wait_until_gone(&mut behaviour) => return,
            }
        }
    }

    async fn serve(self: Arc<Self>, stream: TcpStream) {
        // Without TCP_NODELAY only the latency is higher, so a failure is harmless.
        let _ = stream.set_nodelay(true);
        let socket = SockRef::from(&stream).try_clone();
        let mut behaviour = self.behaviour.subscribe();
        let server = Arc::clone(&self);
        let service = service_fn(move |request| {
            let server = Arc::clone(&server);
            async move { server.answer(request).await.ok_or("the answer is lost") }
        });
        let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
        tokio::select! {
            // The router notices a broken connection itself.
            _ = connection => {}
            () = wait_until_gone(&mut behaviour) => {
                // This fails only for a connection that is already closed.
                let _ = socket.map(|socket| socket.set_linger(Some(Duration::ZERO)));
            }
        }
    }

    /// Waits until the upstream isn't paused.
    async fn wait_while_paused(&self) {
        let mut behaviour = self.behaviour.subscribe();
        // The sender exists as long as this server, so this can't fail.
        let _ = behaviour.wait_for(|behaviour| !behaviour.is_paused).await;
    }

    async fn answer(self: &Arc<Self>, request: Request<Incoming>) -> Option<Answer> {
        let (parts, body) = request.into_parts();
        let body = body.collect().await.ok()?.to_bytes();
        let arrived = Instant::now();
        let call = decode_call(&parts, &body);
        let id = match &call {
            Call::Request(head) => head.id.clone(),
            _ => None,
        };
        let is_other = decode_target(&parts).is_some_and(|target| target != self.id);
        let outcome = match call {
            _ if is_other => Outcome::Answered(Reply::Misdirected),
            Call::Grant { keys, hold, .. } => self.order(keys, Some(hold), arrived).await,
            Call::Release(keys) => self.order(keys, None, arrived).await,
            Call::Request(head) => {
                self.wait_while_paused().await;
                self.request(parts.uri.path(), &head).await
            }
            Call::Unreadable => Outcome::Answered(Reply::Unreadable),
        };
        self.wait_while_paused().await;
        let (reply, named) = match outcome {
            Outcome::Answered(reply) => (reply, id.as_deref()),
            Outcome::Swapped(reply) => (reply, Some(OTHER_REQUEST_ID)),
            Outcome::Endless => {
                let whole = encode_reply(Reply::Answer(Bytes::new()), &self.id, id.as_deref());
                return Some(whole.map(|_| Either::Right(EndlessBody::new())));
            }
            Outcome::Lost => return None,
        };
        let mut response = encode_reply(reply, &self.id, named);
        let is_own = named == id.as_deref();
        if self.behaviour.borrow().names_limit && is_own {
            mark_limit(&mut response, LIMIT_PER_S);
            self.checker.limit(named, self.incarnation, LIMIT_PER_S);
        }
        if self.behaviour.borrow().announces_leaving {
            mark_leaving(&mut response);
            if is_own {
                self.checker.announce_leaving(named, self.incarnation);
            }
        }
        Some(response.map(Either::Left))
    }

    /// Starts a request on a key. Returns `None` without a key or if the key isn't held.
    fn start_on_key(&self, key: Option<u16>) -> Option<Running<'_>> {
        let key = key?;
        let hold = &mut self.holds()[usize::from(key)];
        if hold.until.is_none_or(|until| Instant::now() >= until) {
            return None;
        }
        hold.running += 1;
        Some(Running(self, key))
    }

    async fn request(&self, path: &str, head: &RequestHead) -> Outcome {
        let id = head.id.as_deref();
        if self.has_ended.load(Ordering::Relaxed) {
            // The end resets the connection.
            return pending().await;
        }
        self.checker.arrive(id, self.incarnation);
        if self.behaviour.borrow().defers && self.draw() < DEFER_SHARE {
            self.checker.defer(id, self.incarnation, DEFERRAL);
            return Outcome::Answered(Reply::Deferred(DEFERRAL));
        }
        let Ok(_queued) = self.queue.try_acquire() else {
            return Outcome::Answered(Reply::Refused);
        };
        let remaining = head.remaining.unwrap_or(Duration::MAX);
        let Ok(Ok(_slot)) = timeout(remaining, self.slots.acquire()).await else {
            return Outcome::Answered(Reply::Refused);
        };
        let held = self.start_on_key(head.key);
        if self.is_keyed && held.is_none() {
            return Outcome::Answered(Reply::Misdirected);
        }
        self.checker.start_run(
            id,
            path,
            self.incarnation,
            &self.service,
            head.key.filter(|_| self.is_keyed),
        );
        if is_deadly(path) {
            self.checker.crash(path, self.incarnation);
            self.behaviour
                .send_modify(|behaviour| behaviour.has_crashed = true);
            self.end();
            // The end resets the connection.
            return pending().await;
        }
        let behaviour = *self.behaviour.borrow();
        let work = if behaviour.is_slow {
            WORK_TIME + SLOW_EXTRA_TIME
        } else {
            WORK_TIME
        };
        sleep(work).await;
        self.wait_while_paused().await;
        if held.as_ref().is_some_and(Running::has_lapsed) {
            return Outcome::Answered(Reply::Failed);
        }
        let draw = self.draw();
        if behaviour.loses_answers && draw < FAIL_SHARE {
            return Outcome::Lost;
        }
        if behaviour.is_endless && draw < FAIL_SHARE {
            return Outcome::Endless;
        }
        if behaviour.fails && draw < FAIL_SHARE {
            return Outcome::Answered(Reply::Failed);
        }
        if behaviour.swaps_answers && draw < FAIL_SHARE {
            let body = Bytes::from_static(b"for somebody else");
            return Outcome::Swapped(Reply::Answer(body));
        }
        let body = Bytes::from(format!("{} ran {id:?} of {path}", self.id));
        self.checker.end_run(id, self.incarnation, &body);
        Outcome::Answered(Reply::Answer(body))
    }
}
