//! Retry budget, which limits retries to a ratio of the requests sent.

const INITIAL_BALANCE: f64 = 1.0;
const MAX_BALANCE: f64 = 10.0;

/// Retry budget of one partner at one upstream.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Budget {
    ratio: f64,
    balance: f64,
}

impl Budget {
    pub(crate) fn new(ratio: f64) -> Self {
        Self {
            ratio,
            balance: INITIAL_BALANCE,
        }
    }

    /// Adds the allowance for one request that is sent for the first time.
    pub(crate) fn deposit(&mut self) {
        self.balance = (self.balance + self.ratio).min(MAX_BALANCE);
    }

    /// Takes one retry out of the budget. Returns whether the budget held one.
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
