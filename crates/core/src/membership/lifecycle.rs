//! The state in the map that this instance aims for, and the one that it may aim for now.

use std::time::Duration;

use crate::{Member, MemberState, Ownership, Time};

use super::change::Goal;
use super::failure_detector::FailureDetector;
use super::peers::Peers;
use super::presence::Presence;
use super::rejoin::RejoinBackoff;

/// The goal of this incarnation and its progress so far.
#[derive(Debug)]
pub(super) struct Lifecycle {
    goal: Goal,
    /// A map listed this incarnation.
    was_listed: bool,
    /// When this instance adopted a map that lists this incarnation as leaving.
    leaving_since: Option<Time>,
    rejoin: RejoinBackoff,
}

/// What this instance knows of the other instances.
#[derive(Debug)]
pub(super) struct PeerView<'a> {
    pub(super) peers: &'a Peers,
    pub(super) failures: &'a FailureDetector,
    pub(super) presence: &'a Presence,
}

impl Lifecycle {
    pub(super) const fn new() -> Self {
        Self {
            goal: Goal::Join,
            was_listed: false,
            leaving_since: None,
            rejoin: RejoinBackoff::new(),
        }
    }

    pub(super) fn set_ready(&mut self) {
        if self.goal == Goal::Join {
            self.goal = Goal::Serve;
        }
    }

    pub(super) fn stop(&mut self) {
        if self.goal != Goal::Exit {
            self.goal = Goal::Leave;
        }
    }

    pub(super) const fn set_drained(&mut self) {
        self.goal = Goal::Exit;
    }

    pub(super) fn wants_exit(&self) -> bool {
        self.goal == Goal::Exit
    }

    /// Records that a map has just been adopted.
    pub(super) fn record_adoption(&mut self, now: Time, was_member: bool, ownership: &Ownership) {
        self.was_listed |= ownership.is_member();
        if was_member && !ownership.is_member() {
            self.rejoin.record_removal(now);
        }
        if local_state(ownership) == Some(MemberState::Leaving) {
            self.leaving_since.get_or_insert(now);
        }
    }

    /// Returns the goal that this incarnation may aim for now; `max_wait` limits the wait for peers
    /// to acknowledge that it leaves.
    pub(super) fn effective_goal(
        &self,
        now: Time,
        ownership: &Ownership,
        view: &PeerView<'_>,
        max_wait: Duration,
    ) -> Goal {
        let may_join = || {
            ownership.is_member()
                || (!self.is_superseded(ownership, view) && self.rejoin.may_join(now))
        };
        let must_stay =
            || ownership.is_member() && !self.is_leave_acknowledged(now, ownership, view, max_wait);
        match self.goal {
            Goal::Join | Goal::Serve if !may_join() => Goal::Exit,
            Goal::Exit if must_stay() => Goal::Leave,
            goal => goal,
        }
    }

    /// Whether another incarnation that is not gone took the entry of this one.
    ///
    /// This one must not take the entry back: two processes that were started under one name would
    /// replace each other forever.
    fn is_superseded(&self, ownership: &Ownership, view: &PeerView<'_>) -> bool {
        let Some(entry) = ownership.map.member(&ownership.local.id) else {
            return false;
        };
        let other = entry.member_ref();
        self.was_listed && other != ownership.local && !view.presence.gone().contains(&other)
    }

    /// Whether every responsive member knows that this instance leaves, or `max_wait` is over.
    ///
    /// If a message about the leave is lost and the instance exits anyway, the new owners don't
    /// know that it has stopped and wait for the lease duration and the clock drift, as after a
    /// crash.
    fn is_leave_acknowledged(
        &self,
        now: Time,
        ownership: &Ownership,
        view: &PeerView<'_>,
        max_wait: Duration,
    ) -> bool {
        let Some(since) = self.leaving_since else {
            return false;
        };
        let knows = |member: &Member| {
            let reply = view
                .peers
                .get(&member.member_ref())
                .and_then(|peer| peer.latest_reply);
            member.id == ownership.local.id
                || view.failures.unresponsive().contains(&member.id)
                || reply.is_some_and(|reply| reply.heartbeat_sent_at >= since)
        };
        now.since(since) >= max_wait || ownership.map.members.iter().all(knows)
    }
}

fn local_state(ownership: &Ownership) -> Option<MemberState> {
    let member = ownership.map.member(&ownership.local.id)?;
    ownership.is_member().then_some(member.state)
}
