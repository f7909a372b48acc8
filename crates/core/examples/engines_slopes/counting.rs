//! An allocator that counts the bytes in use.

use std::alloc::{GlobalAlloc, Layout, System};
use std::sync::atomic::{AtomicI64, Ordering};

static LIVE: AtomicI64 = AtomicI64::new(0);

/// The system's allocator with a count.
pub struct Counting;

// SAFETY: every call is passed on unchanged to the system's allocator, which keeps the contract.
unsafe impl GlobalAlloc for Counting {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        count(layout, 1);
        // SAFETY: the caller keeps the contract of this same call.
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, ptr: *mut u8, layout: Layout) {
        count(layout, -1);
        // SAFETY: `ptr` came from `alloc` above with this layout, so from the system's allocator.
        unsafe { System.dealloc(ptr, layout) }
    }
}

fn count(layout: Layout, sign: i64) {
    let bytes = i64::try_from(layout.size()).unwrap_or(i64::MAX);
    LIVE.fetch_add(sign * bytes, Ordering::Relaxed);
}

/// Bytes in use now.
pub fn live_bytes() -> i64 {
    LIVE.load(Ordering::Relaxed)
}
