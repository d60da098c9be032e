//! Load that an upstream reports with its answers.

mod record;

pub(crate) use self::record::Record;

/// Number above which reported slots aren't credible.
const MAX_SLOTS: u32 = 100_000;
/// Requests that may wait for each slot. A longer queue could answer nobody in time.
const MAX_WAITING_PER_SLOT: u32 = 100;
/// Bounds of a credible pace, in percent.
const MIN_PACE: u32 = 1;
const MAX_PACE: u32 = 100_000;

/// What an upstream had to do when it sent an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Load {
    running: u32,
    waiting: u32,
    slots: u32,
    pace: Option<u32>,
}

impl Load {
    /// Creates a report of `running` and `waiting` requests on `slots` slots. `pace` is the time that
    /// work takes at the moment, in percent of the usual time. Returns `None` if a figure isn't
    /// credible, as when more requests run than there are slots.
    ///
    /// ```
    /// use eelgrassrock_dispatch::load::Load;
    ///
    /// let load = Load::new(3, 1, 4, Some(300)).expect("a report");
    /// assert_eq!(load.requests(), 4);
    /// assert_eq!(load.pace(), 3.0);
    /// assert_eq!(Load::new(3, 1, 0, None), None);
    /// ```
    pub fn new(running: u32, waiting: u32, slots: u32, pace: Option<u32>) -> Option<Self> {
        let is_credible = running <= slots
            && waiting / MAX_WAITING_PER_SLOT <= slots
            && (1..=MAX_SLOTS).contains(&slots)
            && pace.is_none_or(|pace| (MIN_PACE..=MAX_PACE).contains(&pace));
        is_credible.then_some(Self {
            running,
            waiting,
            slots,
            pace,
        })
    }

    /// Returns the number of requests that are worked on or wait.
    pub fn requests(self) -> u32 {
        self.running + self.waiting
    }

    /// Returns the number of requests that are worked on at the same time.
    pub fn slots(self) -> u32 {
        self.slots
    }

    /// Returns the time that work takes at the moment, as a multiple of the usual time.
    pub fn pace(self) -> f64 {
        self.pace.map_or(1.0, |percent| f64::from(percent) / 100.0)
    }
}
