//! Counters that order decisions.

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
            /// Returns the counter that follows this one.
            ///
            /// # Panics
            ///
            /// Panics if the counter is exhausted, which takes 2^64 steps.
            pub fn next(self) -> Self {
                Self(self.0.checked_add(1).expect("a counter never overflows"))
            }
        }
    };
}

counter! {
    /// Generation of the authority over one upstream. Every change of the
    /// home increments it.
    ///
    /// ```
    /// use eelgrassrock_model::Term;
    ///
    /// assert_eq!(Term(3).next(), Term(4));
    /// ```
    Term
}

counter! {
    /// Generation of the assignment of one shard. Every change of the owner
    /// increments it.
    Epoch
}

counter! {
    /// Version of a bundle or of a row of the table. Zero means that it
    /// doesn't exist yet.
    Version
}

counter! {
    /// Position of a message among those that one sender has sent.
    Sequence
}
