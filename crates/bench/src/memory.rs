//! Count of the bytes that the program has allocated.

use std::alloc::{GlobalAlloc, Layout, System};
use std::sync::atomic::{AtomicUsize, Ordering};

static ALLOCATED_BYTES: AtomicUsize = AtomicUsize::new(0);

/// System allocator that counts the allocated bytes. The count stays zero in a program that
/// doesn't declare it as its global allocator.
#[derive(Debug)]
pub struct CountingAllocator;

// SAFETY: every call is passed to the system allocator unchanged, and the counter doesn't
// affect it.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        ALLOCATED_BYTES.fetch_add(layout.size(), Ordering::Relaxed);
        // SAFETY: the caller upholds the contract of `GlobalAlloc::alloc`.
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, pointer: *mut u8, layout: Layout) {
        ALLOCATED_BYTES.fetch_sub(layout.size(), Ordering::Relaxed);
        // SAFETY: the caller upholds the contract of `GlobalAlloc::dealloc`.
        unsafe { System.dealloc(pointer, layout) }
    }
}

/// Calls `build` and returns its value and the number of bytes by which the allocated memory
/// grew, or 0 if it shrank.
///
/// ```
/// let (list, _) = eelgrassrock_bench::memory::retained(|| vec![0_u8; 100]);
/// assert_eq!(list.len(), 100);
/// ```
pub fn retained<T>(build: impl FnOnce() -> T) -> (T, usize) {
    let before = ALLOCATED_BYTES.load(Ordering::Relaxed);
    let value = build();
    let after = ALLOCATED_BYTES.load(Ordering::Relaxed);
    (value, after.saturating_sub(before))
}
