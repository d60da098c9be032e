//! Counters that order decisions, such as terms, epochs and versions.

use derive_more::Display;
use serde::{Deserialize, Serialize};

macro_rules! counter {
    ($(#[$doc:meta])* $kind:ident) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, Display, PartialEq, Eq, PartialOrd, Ord, Hash,
            Serialize, Deserialize,
        )]
        pub struct $kind(pub u64);

        impl $kind {
            /// Returns the next value of the counter.
            ///
            /// # Panics
            ///
            /// Panics if the counter has reached `u64::MAX`, which takes 2^64 steps.
            pub fn next(self) -> Self {
                Self(self.0.checked_add(1).expect("a counter never overflows"))
            }
        }
    };
}

counter! {
    /// Term of the home of one upstream, which is the router with authority over it.
    /// Every change of the home increments the term.
    ///
    /// ```
    /// use eelgrassrock_model::Term;
    ///
    /// assert_eq!(Term(3).next(), Term(4));
    /// ```
    Term
}

counter! {
    /// Epoch of the assignment of one shard. Every change of the owner increments it.
    Epoch
}

counter! {
    /// Version of a bundle or of a row of the table. Zero means that the bundle or row
    /// doesn't exist yet.
    Version
}

counter! {
    /// Sequence number of a message among those of one sender.
    Sequence
}
