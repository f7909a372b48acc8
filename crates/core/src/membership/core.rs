//! The membership state machine.

use crate::platform::PlatformAnswer;
use crate::{Action, InstanceId, Member, Ownership, Revision, Time, Tuning};

use super::MembershipMessage;

/// Keeps the map, this instance's standing and the activation of its homes.
#[derive(Debug)]
pub struct Membership {
    ownership: Ownership,
}

impl Membership {
    /// A fresh life of an instance that knows no map yet; `me.state` is `Joining`.
    #[must_use]
    pub fn new(_cfg: &Tuning, _me: Member, _now: Time) -> Self {
        todo!()
    }

    /// The view that the other cores decide by.
    #[must_use]
    pub const fn ownership(&self) -> &Ownership {
        &self.ownership
    }

    /// Sends due heartbeats, reads and map changes; `catalogue` is the revision in force here.
    pub fn tick(&mut self, _now: Time, _catalogue: Revision, _out: &mut Vec<Action>) {
        todo!()
    }

    /// Takes a heartbeat or a pushed map.
    pub fn message(
        &mut self,
        _now: Time,
        _from: &InstanceId,
        _message: MembershipMessage,
        _catalogue: Revision,
        _out: &mut Vec<Action>,
    ) {
        todo!()
    }

    /// Takes an answer to `MapRead`, `MapWrite` or `InstanceList`.
    pub fn platform(&mut self, _now: Time, _answer: PlatformAnswer, _out: &mut Vec<Action>) {
        todo!()
    }

    /// A watch saw the map object change: read it.
    pub fn map_hint(&mut self, _now: Time, _out: &mut Vec<Action>) {
        todo!()
    }

    /// The catalogue is loaded: `Joining` may become `Active`.
    pub fn ready(&mut self, _now: Time) {
        todo!()
    }

    /// Planned stop: become `Leaving`; once that is known everywhere and nothing is left to do, the
    /// entry goes from the map.
    pub fn stop(&mut self, _now: Time) {
        todo!()
    }

    /// After a planned stop: no request is left here, the entry may go from the map.
    pub fn drained(&mut self, _now: Time) {
        todo!()
    }

    /// The map no longer lists this life, as it wished.
    #[must_use]
    pub fn has_left(&self) -> bool {
        todo!()
    }

    /// The latest time since which a majority, this instance included, has told its catalogue
    /// revision, with the highest revision told; none while no majority has.
    #[must_use]
    pub fn majority_catalogue(&self) -> Option<CatalogueQuorum> {
        todo!()
    }

    /// Whether a majority of the map's instances has `revision` of the catalogue in force.
    #[must_use]
    pub fn majority_has_catalogue(&self, _revision: Revision) -> bool {
        todo!()
    }
}

/// What a majority of instances say of the catalogue.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CatalogueQuorum {
    /// Every one of them said so after this time.
    pub asked: Time,
    /// The highest revision among them.
    pub highest: Revision,
}
