//! The result of a reservation.

/// What becomes of a reservation.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reservation {
    /// The bytes are counted and may be received.
    Granted,
    /// There is no room now. The sender is not read meanwhile.
    Wait,
    /// There is no room, and none is to be expected soon.
    Refused,
}
