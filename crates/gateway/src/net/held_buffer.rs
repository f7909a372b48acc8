//! A buffer whose memory is counted.

use std::time::Duration;

use bytes::Bytes;

use crate::decide::memory_budget::window_for;

use super::caller_memory::{Hold, OutOfMemory};

/// Capacity of a buffer for a body of unknown length.
const FIRST_CAPACITY: usize = 16 * 1_024;

/// A buffer whose capacity is counted until its bytes are dropped.
#[derive(Debug)]
pub(super) struct HeldBuffer {
    data: Vec<u8>,
    hold: Hold,
}

impl HeldBuffer {
    pub(super) const fn new(hold: Hold) -> Self {
        let data = Vec::new();
        Self { data, hold }
    }

    /// Returns the bytes by which the capacity must grow for `more` bytes; zero if they fit. It doubles, so that a
    /// body in many parts is not copied as often.
    fn growth(&self, more: usize) -> usize {
        let needed = self.data.len() + more;
        if needed <= self.data.capacity() {
            return 0;
        }
        let doubled = self.data.capacity() * 2;
        needed.max(doubled).max(FIRST_CAPACITY) - self.data.capacity()
    }

    /// Grows to hold exactly a body of known length.
    ///
    /// # Errors
    ///
    /// There is no room, or none after `max_wait`.
    pub(super) async fn reserve_exact(
        &mut self,
        len: usize,
        max_wait: Duration,
    ) -> Result<(), OutOfMemory> {
        self.hold.add_later(len, max_wait).await?;
        self.data.reserve_exact(len);
        Ok(())
    }

    /// Widens the receive window of the connection, for a body of at least `len` bytes, if there is room. What the kernel
    /// may buffer then counts as held as long as the body: its caller may go on sending behind it.
    pub(super) fn widen_receive_window(&mut self, len: usize) {
        self.hold.widen_receive_window(window_for(len));
    }

    /// Grows to hold a body of known length if there is room now.
    pub(super) fn try_reserve_exact(&mut self, len: usize) -> bool {
        let is_granted = self.hold.try_add(len);
        if is_granted {
            self.data.reserve_exact(len);
        }
        is_granted
    }

    /// Appends bytes when there is room.
    ///
    /// # Errors
    ///
    /// There is no room, or none after `max_wait`.
    pub(super) async fn extend(
        &mut self,
        more: &[u8],
        max_wait: Duration,
    ) -> Result<(), OutOfMemory> {
        let growth = self.growth(more.len());
        if growth > 0 {
            self.hold.add_later(growth, max_wait).await?;
            self.grow(growth);
        }
        self.data.extend_from_slice(more);
        Ok(())
    }

    /// Appends bytes if there is room now, and returns whether there is.
    pub(super) fn try_extend(&mut self, more: &[u8]) -> bool {
        let growth = self.growth(more.len());
        if growth > 0 {
            if !self.hold.try_add(growth) {
                return false;
            }
            self.grow(growth);
        }
        self.data.extend_from_slice(more);
        true
    }

    fn grow(&mut self, growth: usize) {
        let capacity = self.data.capacity() + growth;
        self.data.reserve_exact(capacity - self.data.len());
    }

    pub(super) fn len(&self) -> usize {
        self.data.len()
    }

    /// Returns the bytes; they count as held until the last copy is dropped.
    pub(super) fn into_bytes(self) -> Bytes {
        if self.data.is_empty() {
            return Bytes::new();
        }
        Bytes::from_owner(self)
    }
}

impl AsRef<[u8]> for HeldBuffer {
    fn as_ref(&self) -> &[u8] {
        &self.data
    }
}
