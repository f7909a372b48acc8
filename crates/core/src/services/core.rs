//! Choice of a replica for each call.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use serde::Serialize;

use crate::{
    Cx, Refusal, RefusalKind, RequestId, ServiceId, TargetId, TargetInfo, TargetKind, Time, Tuning,
};

use super::replica::Replica;

/// How long a replica that refused a connection is left alone.
const AVOID: Duration = Duration::from_secs(1);

/// When a caller may ask again after it waited its whole time.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// A place at a replica.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Slot {
    /// Which replica.
    pub target: TargetId,
    /// Where it listens.
    pub address: SocketAddr,
}

/// The outcome of an ask.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SlotDecision {
    /// Which request.
    pub request: RequestId,
    /// A place, or a refusal.
    pub outcome: Result<Slot, Refusal>,
}

/// How the use of a place ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SlotEnd {
    /// The replica answered, or nothing was sent to it.
    Fine,
    /// It refused the connection, refused the call, or broke off.
    Failed,
    /// It is on its way out.
    Leaving,
}

/// Shares out the replicas of plain services among this instance's callers.
#[derive(Debug, Serialize)]
pub struct Services {
    #[serde(skip)]
    patience: Duration,
    replicas: BTreeMap<ServiceId, Vec<Replica>>,
    waiting: BTreeMap<ServiceId, VecDeque<Waiting>>,
    held: BTreeMap<RequestId, Held>,
}

#[derive(Debug, Serialize)]
struct Waiting {
    request: RequestId,
    give_up: Time,
}

#[derive(Debug, Serialize)]
struct Held {
    service: ServiceId,
    target: TargetId,
}

impl Services {
    /// No replicas known, nothing waiting.
    #[must_use]
    pub const fn new(cfg: &Tuning) -> Self {
        Self {
            patience: cfg.queue_patience,
            replicas: BTreeMap::new(),
            waiting: BTreeMap::new(),
            held: BTreeMap::new(),
        }
    }

    /// A call needs a replica.
    pub fn ask(
        &mut self,
        cx: &mut Cx<'_>,
        request: RequestId,
        service: &ServiceId,
    ) -> Vec<SlotDecision> {
        let give_up = cx.now + self.patience;
        self.waiting
            .entry(service.clone())
            .or_default()
            .push_back(Waiting { request, give_up });
        self.serve(cx, service)
    }

    /// The caller of a waiting request went away.
    pub fn cancel(&mut self, request: RequestId) {
        for queue in self.waiting.values_mut() {
            queue.retain(|waiting| waiting.request != request);
        }
    }

    /// The use of a place ended.
    pub fn finished(
        &mut self,
        cx: &mut Cx<'_>,
        request: RequestId,
        end: SlotEnd,
    ) -> Vec<SlotDecision> {
        let Some(held) = self.held.remove(&request) else {
            return Vec::new();
        };
        if let Some(replica) = self.replica(&held) {
            replica.in_flight = replica.in_flight.saturating_sub(1);
            match end {
                SlotEnd::Fine => {}
                SlotEnd::Failed => replica.avoid_until = cx.now + AVOID,
                SlotEnd::Leaving => replica.leaving = true,
            }
        }
        self.serve(cx, &held.service)
    }

    /// The platform's list of targets, engines included (ignored here).
    pub fn set_targets(&mut self, cx: &mut Cx<'_>, targets: &[TargetInfo]) -> Vec<SlotDecision> {
        let mut before = std::mem::take(&mut self.replicas);
        for info in targets {
            let TargetKind::Service {
                service,
                concurrency,
            } = &info.kind
            else {
                continue;
            };
            let known = before.get_mut(service).and_then(|replicas| {
                replicas
                    .iter()
                    .position(|replica| replica.id == info.id)
                    .map(|at| replicas.swap_remove(at))
            });
            let replica = Replica {
                id: info.id.clone(),
                address: info.address,
                concurrency: *concurrency,
                // The list lags: a replica that said itself that it leaves stays out.
                leaving: info.leaving
                    || known
                        .as_ref()
                        .is_some_and(|known| known.leaving && known.address == info.address),
                in_flight: known.as_ref().map_or(0, |known| known.in_flight),
                avoid_until: known.map(|known| known.avoid_until).unwrap_or_default(),
            };
            self.replicas
                .entry(service.clone())
                .or_default()
                .push(replica);
        }
        self.serve_all(cx)
    }

    /// Time passed.
    pub fn tick(&mut self, cx: &mut Cx<'_>) -> Vec<SlotDecision> {
        let mut decisions = self.serve_all(cx);
        for queue in self.waiting.values_mut() {
            while let Some(late) = queue.pop_front_if(|waiting| cx.now >= waiting.give_up) {
                let refusal = Refusal::retry_after(RefusalKind::Overloaded, RETRY_AFTER);
                decisions.push(SlotDecision {
                    request: late.request,
                    outcome: Err(refusal),
                });
            }
        }
        self.waiting.retain(|_service, queue| !queue.is_empty());
        decisions
    }

    fn replica(&mut self, held: &Held) -> Option<&mut Replica> {
        self.replicas
            .get_mut(&held.service)?
            .iter_mut()
            .find(|replica| replica.id == held.target)
    }

    fn serve_all(&mut self, cx: &mut Cx<'_>) -> Vec<SlotDecision> {
        let services: Vec<_> = self.waiting.keys().cloned().collect();
        services
            .iter()
            .flat_map(|service| self.serve(cx, service))
            .collect()
    }

    fn serve(&mut self, cx: &mut Cx<'_>, service: &ServiceId) -> Vec<SlotDecision> {
        let mut decisions = Vec::new();
        let Some(queue) = self.waiting.get_mut(service) else {
            return decisions;
        };
        let Some(replicas) = self.replicas.get_mut(service) else {
            let refusal = Refusal::retry_after(RefusalKind::NoTarget, RETRY_AFTER);
            let refused = queue.drain(..);
            return refused
                .map(|waiting| SlotDecision {
                    request: waiting.request,
                    outcome: Err(refusal.clone()),
                })
                .collect();
        };
        while !queue.is_empty() {
            let Some(replica) = pick(cx, replicas) else {
                break;
            };
            let Some(next) = queue.pop_front() else {
                break;
            };
            replica.in_flight += 1;
            let held = Held {
                service: service.clone(),
                target: replica.id.clone(),
            };
            self.held.insert(next.request, held);
            let slot = Slot {
                target: replica.id.clone(),
                address: replica.address,
            };
            decisions.push(SlotDecision {
                request: next.request,
                outcome: Ok(slot),
            });
        }
        decisions
    }
}

/// The open replica with the most room left for this instance.
fn pick<'a>(cx: &Cx<'_>, replicas: &'a mut [Replica]) -> Option<&'a mut Replica> {
    let parts: u32 = replicas
        .iter()
        .map(|replica| replica.part(&cx.own.map, &cx.own.local))
        .sum();
    // With more instances than places, some instances' parts are all zero; one call at a time is
    // let through, or their callers would never be served.
    let least = u32::from(parts == 0);
    replicas
        .iter_mut()
        .filter(|replica| replica.is_open(cx.now))
        .filter_map(|replica| {
            let part = replica.part(&cx.own.map, &cx.own.local).max(least);
            let room = part
                .checked_sub(replica.in_flight)
                .filter(|room| *room > 0)?;
            Some((room, replica))
        })
        .max_by_key(|(room, replica)| (*room, std::cmp::Reverse(replica.id.clone())))
        .map(|(_room, replica)| replica)
}
