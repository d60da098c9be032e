//! The network link of the router's own VM.
//!
//! Load answered: large answers on small VMs. At 10 Mbit/s an answer of 100 KB takes
//! 80 ms in and again out, and whatever is sent meanwhile waits behind it. A router that
//! doesn't know this takes its own queue for slow upstreams.

use std::time::Duration;

use eelgrassrock_model::time::Instant;

/// Bytes of a head, and of the packets that carry a small message.
const HEAD_BYTES: usize = 400;
/// Weight of one answer in the mean size of a route's answers.
const SIZE_SMOOTHING: f64 = 0.1;
/// Wait in a direction from which on the link counts as busy: several times as long as
/// any message between machines of a region takes.
const BUSY_WAIT: Duration = Duration::from_millis(30);

/// Mean size from which on answers are large: a dozen packets.
const LARGE_BYTES: usize = 16 << 10;
/// Share of the time until its target for which a large answer may find the link busy.
const MAX_WAIT_SHARE: f64 = 0.15;

/// Longest time that one message is taken to need, whatever the settings say.
const MAX_TIME: Duration = Duration::from_secs(60);

/// What a link can bear at the moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// What is sent leaves at once.
    Free,
    /// Messages wait for others: late answers and connections say nothing about the
    /// other end, and what isn't needed is better not sent.
    Busy,
}

/// Mean size of the answers to one kind of request, in bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Size(f64);

impl Size {
    /// Counts an answer.
    pub fn record(&mut self, bytes: usize) {
        let sample = bytes as f64;
        self.0 += if self.0 == 0.0 {
            sample
        } else {
            (sample - self.0) * SIZE_SMOOTHING
        };
    }

    /// Returns the mean.
    pub fn bytes(&self) -> usize {
        self.0 as usize
    }
}

/// The link, with what is on its way in each direction.
///
/// ```
/// use std::time::Duration;
/// use eelgrassrock_dispatch::uplink::{State, Uplink};
/// use eelgrassrock_model::time::Instant;
///
/// let now = Instant::from_millis(0);
/// let mut link = Uplink::new(10.0);
/// link.send(125_000, now);
/// assert_eq!(link.state(now), State::Busy);
/// assert_eq!(link.state(now + Duration::from_millis(200)), State::Free);
/// ```
#[derive(Clone, Debug)]
pub struct Uplink {
    bytes_per_s: f64,
    /// When what is on its way out, and in, will have passed.
    out_until: Instant,
    in_until: Instant,
}

impl Uplink {
    /// Creates an unused link of so many Mbit/s in each direction.
    pub fn new(mbit_per_s: f64) -> Self {
        Self {
            bytes_per_s: mbit_per_s.max(f64::MIN_POSITIVE) * 1e6 / 8.0,
            out_until: Instant::from_micros(0),
            in_until: Instant::from_micros(0),
        }
    }

    /// Time that a message of so many bytes takes.
    pub fn time_of(&self, bytes: usize) -> Duration {
        let seconds = (bytes + HEAD_BYTES) as f64 / self.bytes_per_s;
        Duration::try_from_secs_f64(seconds).map_or(MAX_TIME, |time| time.min(MAX_TIME))
    }

    /// Counts a message that goes out.
    pub fn send(&mut self, bytes: usize, now: Instant) {
        self.out_until = self.out_until.max(now) + self.time_of(bytes);
    }

    /// Counts a message that was asked for, or that has come in without.
    pub fn expect(&mut self, bytes: usize, now: Instant) {
        self.in_until = self.in_until.max(now) + self.time_of(bytes);
    }

    /// Time until the last byte that is owed to others has left.
    pub fn wait_out(&self, now: Instant) -> Duration {
        self.out_until - now
    }

    /// Time until the last byte that was asked for has come.
    pub fn wait_in(&self, now: Instant) -> Duration {
        self.in_until - now
    }

    /// Returns what it can bear now.
    pub fn state(&self, now: Instant) -> State {
        if self.wait_out(now).max(self.wait_in(now)) >= BUSY_WAIT {
            State::Busy
        } else {
            State::Free
        }
    }

    /// Returns how long a request with such answers should stay away, if it would only
    /// make all others late: a large answer that has `left` until it is worth less.
    ///
    /// Load answered: more than the link bears, two thirds of it for a tenth of the
    /// requests. The caller's next try reaches another router.
    pub fn turns_away(&self, size: Size, left: Duration, now: Instant) -> Option<Duration> {
        let wait = self.wait_out(now).max(self.wait_in(now));
        let is_too_long = wait >= left.mul_f64(MAX_WAIT_SHARE);
        (size.bytes() >= LARGE_BYTES && is_too_long).then_some(wait)
    }

    /// Bytes that are owed to others.
    pub fn owed_bytes(&self, now: Instant) -> u64 {
        (self.wait_out(now).as_secs_f64() * self.bytes_per_s) as u64
    }
}
