//! Budget of retries as a share of the requests sent.

const INITIAL: f64 = 1.0;
const MAX: f64 = 10.0;

/// Budget of retries of one partner at one upstream.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Budget {
    share: f64,
    balance: f64,
}

impl Budget {
    pub(crate) fn new(share: f64) -> Self {
        Self {
            share,
            balance: INITIAL,
        }
    }

    /// Adds the share of one request that was sent for the first time.
    pub(crate) fn deposit(&mut self) {
        self.balance = (self.balance + self.share).min(MAX);
    }

    /// Takes one retry out of the budget, if it holds one.
    pub(crate) fn withdraw(&mut self) -> bool {
        if self.balance < 1.0 {
            return false;
        }
        self.balance -= 1.0;
        true
    }

    pub(crate) fn balance(self) -> f64 {
        self.balance
    }
}
