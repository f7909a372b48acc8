//! A request that waits for room.

use bluebellstage_core::Time;

use super::{Patience, Room, Standing};
use crate::decide::rendezvous::ShortHash;

/// The room that a request waits for, as of its last try.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Contended {
    /// The time of this target.
    Target(ShortHash),
    /// Any target of the service.
    Service,
    /// Any target of the service that the request has not tried yet. It holds back no other request.
    Remainder,
}

impl Contended {
    /// Whether a request that waits for this may find room there.
    pub(super) fn may_be_at(self, room: &Room) -> bool {
        match (self, room) {
            (Self::Target(target), Room::At(id)) => target == ShortHash::of(id.as_str()),
            (Self::Service | Self::Remainder, Room::At(_)) | (_, Room::Anywhere) => true,
        }
    }
}

/// A request that waits for room.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Waiter {
    /// Its service.
    pub service: ShortHash,
    /// Priority rank, 0 first.
    pub rank: u8,
    /// How its workspace stands to its share.
    pub standing: Standing,
    /// Until when its start is worth something.
    pub patience: Patience,
    /// Prompt tokens.
    pub tokens: u64,
    /// The adapter that it needs.
    pub adapter: Option<ShortHash>,
    /// The room that it waits for.
    pub contended: Contended,
    /// When it would begin, as of its last try.
    pub starts_at: Time,
}

/// Precedence of a waiting request; the lowest comes first.
pub(super) type Order = (u8, Standing, bool, u64, Time);

impl Waiter {
    /// Rank, standing, whether it is late, length, arrival. One that has waited for long comes with the first rank.
    pub(super) fn order(&self, now: Time) -> Order {
        let is_aged = self.patience.is_aged(now);
        let (rank, standing) = if is_aged {
            (0, Standing::Within)
        } else {
            (self.rank, self.standing)
        };
        let is_late = self.is_late(now);
        (
            rank,
            standing,
            is_late,
            self.tokens,
            self.patience.arrived(),
        )
    }

    /// Whether it can't be expected to begin in time any more.
    #[must_use]
    pub fn is_late(&self, now: Time) -> bool {
        self.patience.is_late(self.starts_at.max(now))
    }

    /// Whether it keeps `other` from taking room that both need: it comes first, and is not late
    /// anyway where `other` can be in time.
    pub(super) fn holds_back(&self, other: &Self, now: Time) -> bool {
        let yields = self.is_late(now) && !other.is_late(now);
        !yields && self.order(now) < other.order(now)
    }

    /// Whether both compete for the engines of the same adapter, or both need none.
    pub(super) fn competes_alike(&self, other: &Self) -> bool {
        self.service == other.service && self.adapter == other.adapter
    }

    /// Whether it needs the room at a target of the service of `other`.
    pub(super) fn needs_room_at(&self, target: ShortHash, other: &Self) -> bool {
        self.service == other.service
            && match self.contended {
                Contended::Target(contended) => contended == target,
                Contended::Service => true,
                Contended::Remainder => false,
            }
    }
}
