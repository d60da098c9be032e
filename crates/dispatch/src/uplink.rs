//! Tracks how busy the network link of the router's own VM is.
//!
//! Small VMs have slow links: at 10 Mbit/s an answer of 100 KB takes 80 ms to come in and another
//! 80 ms to go out, and everything that is sent meanwhile waits behind it. Without this estimate a
//! router mistakes its own send queue for slow upstreams.

use std::time::Duration;

use eelgrassrock_model::time::Instant;

/// Bytes of a message head, and of the packets that carry a small message.
const HEAD_BYTES: usize = 400;
/// Weight of one answer in the mean size of a route's answers.
const SIZE_SMOOTHING: f64 = 0.1;
/// Queueing delay in one direction from which the link counts as busy: several times as long as any
/// message between machines of a region takes.
const BUSY_WAIT: Duration = Duration::from_millis(30);

/// Mean size from which answers count as large: a dozen packets.
const LARGE_BYTES: usize = 16 << 10;
/// Largest queueing delay that a large answer may find, as a share of the time until its target.
const MAX_WAIT_SHARE: f64 = 0.15;

/// Upper bound of the time that one message is assumed to take, whatever the settings say.
const MAX_TIME: Duration = Duration::from_secs(60);

/// Whether the link is busy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Messages leave at once.
    Free,
    /// Messages wait for others. Late answers and connections then say nothing about the other end,
    /// and messages that can be spared should not be sent.
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

    /// Returns the mean size in bytes, 0 before the first answer.
    pub fn bytes(&self) -> usize {
        self.0 as usize
    }
}

/// The link, with the transmissions under way in each direction.
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
    /// When the outgoing, and the incoming, transmissions will have ended.
    out_until: Instant,
    in_until: Instant,
}

impl Uplink {
    /// Creates an idle link with this rate in each direction.
    pub fn new(mbit_per_s: f64) -> Self {
        Self {
            bytes_per_s: mbit_per_s.max(f64::MIN_POSITIVE) * 1e6 / 8.0,
            out_until: Instant::from_micros(0),
            in_until: Instant::from_micros(0),
        }
    }

    /// Returns the time that a message of so many bytes takes, without any wait.
    pub fn time_of(&self, bytes: usize) -> Duration {
        let seconds = (bytes + HEAD_BYTES) as f64 / self.bytes_per_s;
        Duration::try_from_secs_f64(seconds).map_or(MAX_TIME, |time| time.min(MAX_TIME))
    }

    /// Counts an outgoing message.
    pub fn send(&mut self, bytes: usize, now: Instant) {
        self.out_until = self.out_until.max(now) + self.time_of(bytes);
    }

    /// Counts an incoming message, either requested or received without a request.
    pub fn expect(&mut self, bytes: usize, now: Instant) {
        self.in_until = self.in_until.max(now) + self.time_of(bytes);
    }

    /// Returns the time until the last queued byte has been sent.
    pub fn wait_out(&self, now: Instant) -> Duration {
        self.out_until - now
    }

    /// Returns the time until the last requested byte has arrived.
    pub fn wait_in(&self, now: Instant) -> Duration {
        self.in_until - now
    }

    /// Returns whether the link is busy at `now`.
    pub fn state(&self, now: Instant) -> State {
        if self.wait_out(now).max(self.wait_in(now)) >= BUSY_WAIT {
            State::Busy
        } else {
            State::Free
        }
    }

    /// Returns how long the caller of a request with answers of this size should wait before its
    /// next attempt, or `None` if the request can be sent. `left` is the time until the answer is
    /// worth less. Only large answers are shed, and only while they would delay all others.
    ///
    /// Links can get more traffic than they carry, with two thirds of it for a tenth of the
    /// requests. The next attempt of the caller reaches another router.
    pub fn shed_delay(&self, size: Size, left: Duration, now: Instant) -> Option<Duration> {
        let wait = self.wait_out(now).max(self.wait_in(now));
        let is_too_long = wait >= left.mul_f64(MAX_WAIT_SHARE);
        (size.bytes() >= LARGE_BYTES && is_too_long).then_some(wait)
    }

    /// Returns the number of queued bytes that haven't been sent yet.
    pub fn owed_bytes(&self, now: Instant) -> u64 {
        (self.wait_out(now).as_secs_f64() * self.bytes_per_s) as u64
    }
}
