//! How much the kernel buffers of what a caller sends.
//!
//! Bytes that were received and not read count against the memory limit, and nobody can refuse them any more. So a
//! connection has a small window at first, and a wider one only while it sends a body that was admitted.

/// Window of a connection that sends no large body, in bytes.
pub const MIN_RECEIVE_WINDOW: usize = 8 * 1_024;
/// Largest window, in bytes.
const MAX_RECEIVE_WINDOW: usize = 64 * 1_024;
/// Bytes that the kernel holds at most for each byte of a window: it takes as much again for its own records, and lets
/// callers fill that, too.
const KERNEL_FACTOR: usize = 2;

/// Returns the window for a body, by its length or by what was received of it.
#[must_use]
pub fn window_for(body: usize) -> usize {
    body.clamp(MIN_RECEIVE_WINDOW, MAX_RECEIVE_WINDOW)
}

/// Returns the bytes that lie unread at most in a window.
#[must_use]
pub const fn kernel_bytes(window: usize) -> usize {
    window * KERNEL_FACTOR
}
