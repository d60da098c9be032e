//! The router daemon: sockets and timers around the decision crates.
