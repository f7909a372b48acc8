//! This life's place in the map: what it wants, and what it may pursue now.

use std::time::Duration;

use crate::{Member, MemberState, Ownership, Time};

use super::change::Goal;
use super::peers::Peers;
use super::presence::Presence;
use super::rejoin::Rejoin;
use super::silence::Silence;

/// What this life wants, and what became of it so far.
#[derive(Debug)]
pub(super) struct Place {
    goal: Goal,
    /// The map has listed this life.
    was_listed: bool,
    /// When this life adopted a map that lists it as leaving.
    leaving_since: Option<Time>,
    rejoin: Rejoin,
}

/// What others are known to know or do.
#[derive(Debug)]
pub(super) struct Others<'a> {
    pub(super) peers: &'a Peers,
    pub(super) silence: &'a Silence,
    pub(super) presence: &'a Presence,
}

impl Place {
    pub(super) const fn new() -> Self {
        Self {
            goal: Goal::Join,
            was_listed: false,
            leaving_since: None,
            rejoin: Rejoin::new(),
        }
    }

    pub(super) fn ready(&mut self) {
        if self.goal == Goal::Join {
            self.goal = Goal::Serve;
        }
    }

    pub(super) fn stop(&mut self) {
        if self.goal != Goal::Out {
            self.goal = Goal::Leave;
        }
    }

    pub(super) const fn drained(&mut self) {
        self.goal = Goal::Out;
    }

    pub(super) fn wants_out(&self) -> bool {
        self.goal == Goal::Out
    }

    /// Takes note of a map that has just been adopted.
    pub(super) fn adopted(&mut self, now: Time, was_member: bool, own: &Ownership) {
        self.was_listed |= own.is_member();
        if was_member && !own.is_member() {
            self.rejoin.note_drop(now);
        }
        if state(own) == Some(MemberState::Leaving) {
            self.leaving_since.get_or_insert(now);
        }
    }

    /// The goal that this life may pursue now; `patience` bounds the wait for a farewell's echo.
    pub(super) fn goal_now(
        &self,
        now: Time,
        own: &Ownership,
        others: &Others<'_>,
        patience: Duration,
    ) -> Goal {
        let may_join =
            || own.is_member() || (!self.is_superseded(own, others) && self.rejoin.may_join(now));
        let must_stay = || own.is_member() && !self.has_said_farewell(now, own, others, patience);
        match self.goal {
            Goal::Join | Goal::Serve if !may_join() => Goal::Out,
            Goal::Out if must_stay() => Goal::Leave,
            goal => goal,
        }
    }

    /// Another life took this one's entry, and is not gone: this one must not take the entry back,
    /// or two processes started under one name would replace each other for ever.
    fn is_superseded(&self, own: &Ownership, others: &Others<'_>) -> bool {
        let Some(entry) = own.map.member(&own.me.id) else {
            return false;
        };
        let other = entry.member_ref();
        self.was_listed && other != own.me && !others.presence.gone().contains(&other)
    }

    /// Whether all who are heard know that this instance leaves; or one hears it no more.
    ///
    /// Guards against a farewell that was lost: the new homes would not know that this one has
    /// stopped, and wait for T and drift as after a crash.
    fn has_said_farewell(
        &self,
        now: Time,
        own: &Ownership,
        others: &Others<'_>,
        patience: Duration,
    ) -> bool {
        let Some(since) = self.leaving_since else {
            return false;
        };
        let knows = |member: &Member| {
            let told = others.peers.get(&member.member_ref()).and_then(|p| p.told);
            member.id == own.me.id
                || others.silence.members().contains(&member.id)
                || told.is_some_and(|told| told.asked >= since)
        };
        now.since(since) >= patience || own.map.members.iter().all(knows)
    }
}

fn state(own: &Ownership) -> Option<MemberState> {
    let member = own.map.member(&own.me.id)?;
    own.is_member().then_some(member.state)
}
