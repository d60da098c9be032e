//! Accounting of the memory that bodies use, from their arrival until the last byte has been sent.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::Bytes;

/// Share of a VM's memory that buffered bodies may use. The rest is for the process itself and the
/// buffers of its connections.
const SHARE: f64 = 0.25;
/// Smallest body that is counted. Smaller ones use less memory than the accounting itself.
const MIN_COUNTED_BYTES: usize = 4 << 10;

/// Memory budget for bodies.
#[derive(Debug)]
pub(crate) struct Memory {
    used: Arc<AtomicUsize>,
    limit: usize,
}

/// Share of the budget that one body uses, returned when dropped.
#[derive(Debug)]
pub(crate) struct Held {
    used: Arc<AtomicUsize>,
    bytes: usize,
}

/// Body together with its share of the budget.
struct Counted {
    bytes: Bytes,
    _held: Held,
}

impl Memory {
    /// Creates the budget for a VM with this much memory, in bytes.
    pub(crate) fn of(vm_bytes: u64) -> Self {
        Self {
            used: Arc::default(),
            limit: (vm_bytes as f64 * SHARE) as usize,
        }
    }

    /// Starts the accounting of a body.
    pub(crate) fn hold(&self) -> Held {
        Held {
            used: Arc::clone(&self.used),
            bytes: 0,
        }
    }

    /// Whether the budget is used up, so that no further large body fits.
    pub(crate) fn is_scarce(&self) -> bool {
        self.used() >= self.limit
    }

    /// Returns the bytes of all bodies in memory.
    pub(crate) fn used(&self) -> usize {
        self.used.load(Ordering::Relaxed)
    }
}

impl Held {
    pub(crate) fn grow(&mut self, bytes: usize) {
        self.bytes += bytes;
        self.used.fetch_add(bytes, Ordering::Relaxed);
    }

    /// Keeps the body counted until its last copy is dropped.
    pub(crate) fn keep(self, bytes: Bytes) -> Bytes {
        if bytes.len() < MIN_COUNTED_BYTES {
            return bytes;
        }
        Bytes::from_owner(Counted { bytes, _held: self })
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        self.used.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

impl AsRef<[u8]> for Counted {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
