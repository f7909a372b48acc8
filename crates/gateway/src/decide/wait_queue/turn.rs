//! Decides whether a request goes on, waits or is refused after a target was picked for it.

use std::time::Duration;

use bluebellstage_core::{TargetId, Time};

use super::{Contended, Entered, Patience, WaitKey, Waiter};
use crate::decide::call::Call;
use crate::decide::placement::{MAX_START_FRACTION, Pick, StartTerms};
use crate::decide::rendezvous::ShortHash;
use crate::decide::tables::{Tables, Ticket};

/// What a request does after a target was picked for it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Turn {
    /// It goes on as picked.
    TryNow,
    /// It waits until it is woken, or until a start is worth nothing any more.
    Wait {
        /// Its place in the queue.
        key: WaitKey,
        /// Until when.
        until: Time,
        /// A request that has lost its place to it and must be told.
        displaced: Option<WaitKey>,
    },
    /// It can't begin in a useful time.
    Refuse {
        /// Time until there is room for it.
        room_in: Duration,
    },
}

/// Why a request finds no room.
#[derive(Clone, Copy, Debug)]
struct Lack {
    contended: Contended,
    /// Time until it would begin there.
    start_in: Duration,
}

impl Tables {
    /// Decides what a request does with its pick. `place` is its place if it waits already; `has_tried` is whether
    /// targets are left out for it.
    ///
    /// What comes before it takes the room first, but only room that it needs itself.
    pub fn take_turn(
        &mut self,
        place: Option<WaitKey>,
        pick: &Pick,
        (ticket, call): (&Ticket, &Call),
        has_tried: bool,
        now: Time,
    ) -> Turn {
        let Some(mut waiter) = self.waiter(ticket, call, now) else {
            return Turn::TryNow;
        };
        let Some(lack) = self.lack(pick, &waiter, ticket, has_tried, now) else {
            return Turn::TryNow;
        };
        let start_in = lack.start_in + self.wait_behind_others(&waiter, pick, now);
        waiter.contended = lack.contended;
        waiter.starts_at = now + start_in;
        let limit = ticket.route().target_latency.mul_f64(MAX_START_FRACTION);
        let room_in = start_in.saturating_sub(limit);
        let until = waiter.patience.useful_until();
        let is_displaced = place.is_some_and(|key| self.wait_queue.is_displaced(key));
        if is_displaced || now >= until || waiter.starts_at > until {
            return Turn::Refuse { room_in };
        }
        if let Some(key) = place {
            self.wait_queue.found_no_room(key, waiter, now);
            return Turn::Wait {
                key,
                until,
                displaced: None,
            };
        }
        match self.wait_queue.enter(waiter, now) {
            Entered::Waits { key, displaced } => Turn::Wait {
                key,
                until,
                displaced,
            },
            Entered::QueueFull => Turn::Refuse { room_in },
        }
    }

    /// Returns why the request finds no room; `None` if it does, or if something else keeps it.
    fn lack(
        &self,
        pick: &Pick,
        waiter: &Waiter,
        ticket: &Ticket,
        has_tried: bool,
        now: Time,
    ) -> Option<Lack> {
        match pick {
            Pick::Send { target, .. } => {
                let contended = hash(target);
                let is_behind = self.limits.get(target).is_none()
                    && self.wait_queue.has_before(waiter, contended, now);
                is_behind.then_some(Lack {
                    contended: Contended::Target(contended),
                    start_in: Duration::ZERO,
                })
            }
            Pick::Late { target, excess, .. } => Some(Lack {
                contended: Contended::Target(hash(target)),
                start_in: self.start_terms(ticket, now).limit + *excess,
            }),
            Pick::Full => Some(Lack {
                contended: if has_tried {
                    Contended::Remainder
                } else {
                    Contended::Service
                },
                start_in: Duration::ZERO,
            }),
            Pick::Load(_) | Pick::Cold { .. } | Pick::Resting { .. } | Pick::NoTarget => None,
        }
    }

    fn wait_behind_others(&self, waiter: &Waiter, pick: &Pick, now: Time) -> Duration {
        let (Pick::Send { target, .. } | Pick::Late { target, .. }) = pick else {
            return Duration::ZERO;
        };
        let tokens = self.wait_queue.tokens_before(waiter, hash(target), now);
        self.reading_time(target, tokens, now)
    }

    /// Returns how late and at which load a request may begin.
    pub(in crate::decide) fn start_terms(&self, ticket: &Ticket, now: Time) -> StartTerms {
        let limit = ticket.route().target_latency.mul_f64(MAX_START_FRACTION);
        let is_aged = ticket
            .patience
            .is_some_and(|patience| patience.is_aged(now));
        let room = if is_aged {
            1.0
        } else {
            1.0 - self.reserved_fraction(ticket, now)
        };
        let limit = match ticket.patience {
            Some(patience) if ticket.has_begun() => limit.max(patience.useful_until().since(now)),
            Some(patience) if ticket.waits => patience.time_left(now),
            _ => limit,
        };
        StartTerms {
            limit: limit.mul_f64(room),
            room,
        }
    }

    fn waiter(&self, ticket: &Ticket, call: &Call, now: Time) -> Option<Waiter> {
        let patience = ticket.patience?;
        let adapter = Self::adapter_of(call);
        Some(Waiter {
            service: ShortHash::of(ticket.service.as_str()),
            rank: ticket.rank,
            standing: self.standing(ticket, now),
            patience,
            tokens: call.prompt_tokens.0,
            adapter: adapter.map(|key| ShortHash::of(key.adapter.as_str())),
            contended: Contended::Service,
            starts_at: now,
        })
    }

    /// Returns the fraction of room that the request leaves to requests of earlier ranks that wait at any instance
    /// and can still begin in time.
    fn reserved_fraction(&self, ticket: &Ticket, now: Time) -> f64 {
        let is_first = ticket.rank_class().is_first();
        if is_first || !ticket.later_ranks_can_wait() {
            return 0.0;
        }
        let service = ShortHash::of(ticket.service.as_str());
        let local = self.wait_queue.local_counts(now);
        let elsewhere = self.peers.waiting(now);
        let waiting = local.before(service, ticket.rank) + elsewhere.before(service, ticket.rank);
        if waiting == 0 {
            return 0.0;
        }
        let targets = self.registry.all();
        let targets = targets.filter(|target| target.service == ticket.service);
        let targets = u32::try_from(targets.count().max(1)).unwrap_or(u32::MAX);
        (f64::from(waiting) / f64::from(targets)).min(1.0)
    }
}

fn hash(target: &TargetId) -> ShortHash {
    ShortHash::of(target.as_str())
}

impl Ticket {
    /// Sets until when the request's start is worth something. Without it the request never waits for room.
    pub fn set_patience(&mut self, timeout: Duration, arrived: Time) {
        self.patience = Some(Patience::of(self.route(), timeout, arrived));
    }
}
