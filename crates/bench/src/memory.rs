//! Memory that is allocated at the moment.

use std::alloc::{GlobalAlloc, Layout, System};
use std::sync::atomic::{AtomicUsize, Ordering};

static ALLOCATED: AtomicUsize = AtomicUsize::new(0);

/// Allocator of the system that counts the bytes in use. The counts are zero
/// in a program that doesn't declare it as its global allocator.
#[derive(Debug)]
pub struct Counter;

// SAFETY: every call goes to the allocator of the system unchanged; the
// counter is touched beside it only.
unsafe impl GlobalAlloc for Counter {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        ALLOCATED.fetch_add(layout.size(), Ordering::Relaxed);
        // SAFETY: the caller keeps the contract of `GlobalAlloc::alloc`.
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, pointer: *mut u8, layout: Layout) {
        ALLOCATED.fetch_sub(layout.size(), Ordering::Relaxed);
        // SAFETY: the caller keeps the contract of `GlobalAlloc::dealloc`.
        unsafe { System.dealloc(pointer, layout) }
    }
}

/// Returns what `make` returns and the bytes that it keeps allocated.
///
/// ```
/// let (list, _) = eelgrassrock_bench::memory::retained(|| vec![0_u8; 100]);
/// assert_eq!(list.len(), 100);
/// ```
pub fn retained<T>(make: impl FnOnce() -> T) -> (T, usize) {
    let before = ALLOCATED.load(Ordering::Relaxed);
    let made = make();
    let after = ALLOCATED.load(Ordering::Relaxed);
    (made, after.saturating_sub(before))
}
