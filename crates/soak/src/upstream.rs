//! Upstreams that hold keys by grants, misbehave as they are told, and write
//! down what they run.

use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use eelgrassrock_platform_standin::framing::{
    Arrival, Call, Keys, Reply, decode, encode, mark_leaving,
};
use http::{Request, Response};
use http_body_util::{BodyExt, Either, Full};
use hyper::body::{Body, Frame, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, watch};
use tokio::time::{Instant, Interval, interval, sleep, timeout};

use crate::ledger::Ledger;

/// Requests that an upstream works on at the same time.
pub(crate) const SLOTS: usize = 4;
/// Requests that wait for a slot.
const QUEUE: usize = 4;
/// Time of one request.
const WORK: Duration = Duration::from_millis(80);
/// Additional time while it is slow.
const SLOW: Duration = Duration::from_millis(400);
/// Share of requests that it fails, or whose answers it loses, when told to.
const FAIL_SHARE: f64 = 0.4;
/// Rate of its clock: grants hold a little longer than the router says.
const CLOCK_RATE: f64 = 1.02;
/// Time by which orders are late when told to.
const LATE_ORDERS: Duration = Duration::from_millis(1_500);

/// Share of requests that it turns away when told to, and the pause that it wants.
const DEFER_SHARE: f64 = 0.2;
const DEFERRAL: Duration = Duration::from_millis(1_400);

/// Time between two parts of an answer without end.
const NOISE_INTERVAL: Duration = Duration::from_millis(2);

/// Identifier in the answers that it mixes up.
const OTHER_REQUEST: &str = "r-0";

/// How an upstream behaves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Behaviour {
    pub(crate) is_paused: bool,
    pub(crate) is_slow: bool,
    pub(crate) loses_answers: bool,
    pub(crate) fails: bool,
    pub(crate) mixes_up: bool,
    pub(crate) is_late_with_orders: bool,
    pub(crate) says_leaving: bool,
    pub(crate) defers: bool,
    pub(crate) is_endless: bool,
    /// It has ended.
    pub(crate) is_gone: bool,
}

#[derive(Clone, Copy, Debug, Default)]
struct Hold {
    token: u64,
    until: Option<Instant>,
    running: u32,
}

/// An upstream.
#[derive(Debug)]
pub(crate) struct Server {
    /// Number of this life within the run.
    pub(crate) life: usize,
    pub(crate) id: String,
    pub(crate) service: Arc<str>,
    pub(crate) address: SocketAddr,
    is_keyed: bool,
    behaviour: watch::Sender<Behaviour>,
    holds: Mutex<Vec<Hold>>,
    random: Mutex<ChaCha8Rng>,
    slots: Semaphore,
    places: Semaphore,
    ledger: Arc<Ledger>,
}

/// A request that runs on a key; counts down when it ends.
struct Running<'a>(&'a Server, u16);

impl Drop for Running<'_> {
    fn drop(&mut self) {
        self.0.holds()[usize::from(self.1)].running -= 1;
    }
}

/// What becomes of a request.
enum Fate {
    Answered(Reply),
    /// It ran, and the answer to another request is sent.
    MixedUp(Reply),
    /// It ran, and its answer never ends.
    Endless,
    Lost,
}

/// Bytes without end, at a rate that callers can keep what arrives of them.
#[derive(Debug)]
pub(crate) struct Noise(Interval);

impl Noise {
    fn new() -> Self {
        Self(interval(NOISE_INTERVAL))
    }
}

impl Body for Noise {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let frame = |_| Some(Ok(Frame::data(Bytes::from_static(&[b'x'; 4_096]))));
        self.get_mut().0.poll_tick(context).map(frame)
    }
}

type Answer = Response<Either<Full<Bytes>, Noise>>;

impl Server {
    pub(crate) async fn start(
        life: usize,
        id: String,
        service: &Arc<str>,
        is_keyed: bool,
        seed: u64,
        ledger: &Arc<Ledger>,
    ) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let keys = usize::from(u16::MAX) + 1;
        let server = Arc::new(Self {
            life,
            id,
            service: Arc::clone(service),
            address: listener.local_addr()?,
            is_keyed,
            behaviour: watch::Sender::new(Behaviour::default()),
            holds: Mutex::new(vec![Hold::default(); if is_keyed { keys } else { 0 }]),
            random: Mutex::new(ChaCha8Rng::seed_from_u64(seed ^ life as u64)),
            slots: Semaphore::new(SLOTS),
            places: Semaphore::new(SLOTS + QUEUE),
            ledger: Arc::clone(ledger),
        });
        tokio::spawn(Arc::clone(&server).accept(listener));
        Ok(server)
    }

    /// Misbehaves in one behaviour for a time.
    pub(crate) async fn behave_for(
        &self,
        span: Duration,
        behaviour: impl Fn(&mut Behaviour) -> &mut bool,
    ) {
        self.behaviour.send_modify(|all| *behaviour(all) = true);
        sleep(span).await;
        self.behaviour.send_modify(|all| *behaviour(all) = false);
    }

    /// Ends it: its port closes, and it holds nothing any more.
    pub(crate) fn end(&self) {
        self.behaviour
            .send_modify(|behaviour| behaviour.is_gone = true);
        self.ledger.end(self.life);
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
                    Err(error) => panic!("an upstream can't accept connections: {error}"),
                },
                _ = behaviour.wait_for(|behaviour| behaviour.is_gone) => return,
            }
        }
    }

    async fn serve(self: Arc<Self>, stream: TcpStream) {
        // Delayed packets cost only latency, so a failure is harmless.
        let _ = stream.set_nodelay(true);
        let mut behaviour = self.behaviour.subscribe();
        let server = Arc::clone(&self);
        let service = service_fn(move |request| {
            let server = Arc::clone(&server);
            async move { server.answer(request).await.ok_or("the answer is lost") }
        });
        let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
        tokio::select! {
            // A connection that breaks is the router's to notice.
            _ = connection => {}
            _ = behaviour.wait_for(|behaviour| behaviour.is_gone) => {}
        }
    }

    /// Waits until it isn't paused.
    async fn awake(&self) {
        let mut behaviour = self.behaviour.subscribe();
        // The sender lives as long as this server.
        let _ = behaviour.wait_for(|behaviour| !behaviour.is_paused).await;
    }

    async fn answer(&self, request: Request<Incoming>) -> Option<Answer> {
        self.awake().await;
        let arrived = Instant::now();
        let (parts, body) = request.into_parts();
        let body = body.collect().await.ok()?.to_bytes();
        let call = decode(&parts, &body);
        let id = match &call {
            Call::Request(arrival) => arrival.id.clone(),
            _ => None,
        };
        let fate = match call {
            Call::Grant { keys, hold, .. } => self.grant(keys, hold, arrived).await,
            Call::Release(keys) => self.release(keys).await,
            Call::Request(arrival) => self.request(parts.uri.path(), &arrival).await,
            Call::Unreadable => Fate::Answered(Reply::Unreadable),
        };
        self.awake().await;
        let (reply, named) = match fate {
            Fate::Answered(reply) => (reply, id.as_deref()),
            Fate::MixedUp(reply) => (reply, Some(OTHER_REQUEST)),
            Fate::Endless => {
                let whole = encode(Reply::Answer(Bytes::new()), &self.id, id.as_deref());
                return Some(whole.map(|_| Either::Right(Noise::new())));
            }
            Fate::Lost => return None,
        };
        let mut response = encode(reply, &self.id, named);
        if self.behaviour.borrow().says_leaving {
            mark_leaving(&mut response);
            if named == id.as_deref() {
                self.ledger.say_leaving(named, self.life);
            }
        }
        Some(response.map(Either::Left))
    }

    async fn grant(&self, keys: Keys, hold: Duration, arrived: Instant) -> Fate {
        let is_late = self.behaviour.borrow().is_late_with_orders;
        if is_late {
            sleep(LATE_ORDERS).await;
        }
        let until = arrived + hold.mul_f64(CLOCK_RATE);
        let range = usize::from(keys.from)..=usize::from(keys.to);
        {
            let mut holds = self.holds();
            let Some(holds) = holds.get_mut(range) else {
                return Fate::Answered(Reply::Unreadable);
            };
            if holds.iter().any(|held| held.token > keys.token) {
                return Fate::Answered(Reply::Fenced);
            }
            for held in holds {
                held.token = keys.token;
                held.until = Some(until);
            }
        }
        if !self.behaviour.borrow().is_gone {
            self.ledger.grant(self.life, keys, until, is_late);
        }
        if is_late {
            return Fate::Lost;
        }
        Fate::Answered(Reply::Granted)
    }

    async fn release(&self, keys: Keys) -> Fate {
        let range = usize::from(keys.from)..=usize::from(keys.to);
        loop {
            let is_running = {
                let mut holds = self.holds();
                let Some(holds) = holds.get_mut(range.clone()) else {
                    return Fate::Answered(Reply::Unreadable);
                };
                let own = holds.iter_mut().filter(|held| held.token <= keys.token);
                let mut running = 0;
                for held in own {
                    held.token = keys.token;
                    held.until = None;
                    running += held.running;
                }
                running > 0
            };
            if !is_running {
                self.ledger.release(self.life, keys);
                return Fate::Answered(Reply::Released(format!("{}-{}", self.id, keys.token)));
            }
            sleep(Duration::from_millis(5)).await;
        }
    }

    /// Takes a key for a request, if it is held.
    fn take(&self, key: Option<u16>) -> Option<Running<'_>> {
        let key = key?;
        let hold = &mut self.holds()[usize::from(key)];
        if hold.until.is_none_or(|until| Instant::now() >= until) {
            return None;
        }
        hold.running += 1;
        Some(Running(self, key))
    }

    async fn request(&self, path: &str, arrival: &Arrival) -> Fate {
        let id = arrival.id.as_deref();
        if arrival
            .target
            .as_ref()
            .is_some_and(|target| *target != self.id)
        {
            return Fate::Answered(Reply::Misdirected);
        }
        self.ledger.arrive(id, self.life);
        if self.behaviour.borrow().defers && self.draw() < DEFER_SHARE {
            self.ledger.defer(id, self.life, DEFERRAL);
            return Fate::Answered(Reply::Deferred(DEFERRAL));
        }
        let Ok(_place) = self.places.try_acquire() else {
            return Fate::Answered(Reply::Refused);
        };
        let left = arrival.left.unwrap_or(Duration::MAX);
        let Ok(Ok(_slot)) = timeout(left, self.slots.acquire()).await else {
            return Fate::Answered(Reply::Refused);
        };
        let held = self.take(arrival.key);
        if self.is_keyed && held.is_none() {
            return Fate::Answered(Reply::Misdirected);
        }
        self.ledger.run(
            id,
            path,
            self.life,
            &self.service,
            arrival.key.filter(|_| self.is_keyed),
        );
        let behaviour = *self.behaviour.borrow();
        let work = if behaviour.is_slow { WORK + SLOW } else { WORK };
        sleep(work).await;
        self.awake().await;
        let draw = self.draw();
        if behaviour.loses_answers && draw < FAIL_SHARE {
            return Fate::Lost;
        }
        if behaviour.is_endless && draw < FAIL_SHARE {
            return Fate::Endless;
        }
        if behaviour.fails && draw < FAIL_SHARE {
            return Fate::Answered(Reply::Failed);
        }
        if behaviour.mixes_up && draw < FAIL_SHARE {
            let body = Bytes::from_static(b"for somebody else");
            return Fate::MixedUp(Reply::Answer(body));
        }
        let body = Bytes::from(format!("{} ran {id:?} of {path}", self.id));
        self.ledger.ran(id, self.life, &body);
        Fate::Answered(Reply::Answer(body))
    }
}
