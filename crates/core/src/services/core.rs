//! Selection of a replica for each call.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use serde::Serialize;

use crate::{
    Cx, Refusal, RefusalKind, RequestId, ServiceId, TargetId, TargetInfo, TargetKind, TargetReport,
    Time, Tuning,
};

use super::replica::Replica;

/// How long a replica gets no new calls after a failure.
const AVOID_DURATION: Duration = Duration::from_secs(1);

/// Retry delay sent to a caller when no replica was available, or none became free in time.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// A slot for one call at a replica.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Slot {
    /// The replica.
    pub target: TargetId,
    /// The replica's address.
    pub address: SocketAddr,
}

/// The outcome of a slot request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SlotDecision {
    /// The request that the slot was requested for.
    pub request: RequestId,
    /// The slot, or a refusal.
    pub outcome: Result<Slot, Refusal>,
}

/// How the use of a slot ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SlotEnd {
    /// The replica responded, or nothing was sent to it.
    NoFault,
    /// The replica refused the connection, rejected the call, or interrupted its response.
    Failed,
    /// The replica is shutting down.
    Leaving,
}

/// Assigns the replicas of plain services to the calls of this instance's callers.
#[derive(Debug, Serialize)]
pub struct Services {
    #[serde(skip)]
    max_wait: Duration,
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
    /// Creates the state with no replicas and no waiting calls.
    #[must_use]
    pub const fn new(cfg: &Tuning) -> Self {
        Self {
            max_wait: cfg.max_queue_wait,
            replicas: BTreeMap::new(),
            waiting: BTreeMap::new(),
            held: BTreeMap::new(),
        }
    }

    /// Queues a call for a slot at a replica of `service`, and returns the decisions made.
    pub fn request_slot(
        &mut self,
        cx: &mut Cx<'_>,
        request: RequestId,
        service: &ServiceId,
    ) -> Vec<SlotDecision> {
        let give_up = cx.now + self.max_wait;
        self.waiting
            .entry(service.clone())
            .or_default()
            .push_back(Waiting { request, give_up });
        self.serve(cx, service)
    }

    /// Removes a waiting request whose caller disconnected.
    pub fn cancel(&mut self, request: RequestId) {
        for queue in self.waiting.values_mut() {
            queue.retain(|waiting| waiting.request != request);
        }
    }

    /// Releases a slot, and returns the decisions on calls that waited for one.
    pub fn slot_ended(
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
                SlotEnd::NoFault => {}
                SlotEnd::Failed => replica.avoid_until = cx.now + AVOID_DURATION,
                SlotEnd::Leaving => replica.leaving = true,
            }
        }
        self.serve(cx, &held.service)
    }

    /// Records what the replica of a call reports about itself.
    pub fn record_target_report(&mut self, now: Time, request: RequestId, report: TargetReport) {
        let Some(held) = self.held.get(&request) else {
            return;
        };
        let replicas = self.replicas.get_mut(&held.service);
        let mut replicas = replicas.into_iter().flatten();
        let Some(replica) = replicas.find(|replica| replica.id == held.target) else {
            return;
        };
        replica.leaving |= report.is_leaving;
        replica.rest_until = replica.rest_until.max(now + report.bounded_rest());
    }

    /// Updates the replicas from the platform's list of targets; engines in it are ignored.
    pub fn set_targets(&mut self, cx: &mut Cx<'_>, targets: &[TargetInfo]) -> Vec<SlotDecision> {
        let mut known_replicas = std::mem::take(&mut self.replicas);
        for info in targets {
            let TargetKind::Service {
                service,
                concurrency,
            } = &info.kind
            else {
                continue;
            };
            let known = known_replicas.get_mut(service).and_then(|replicas| {
                replicas
                    .iter()
                    .position(|replica| replica.id == info.id)
                    .map(|at| replicas.swap_remove(at))
            });
            let replica = Replica {
                id: info.id.clone(),
                address: info.address,
                concurrency: *concurrency,
                // The list lags, so a replica that reported its shutdown itself stays excluded.
                leaving: info.leaving
                    || known
                        .as_ref()
                        .is_some_and(|known| known.leaving && known.address == info.address),
                in_flight: known.as_ref().map_or(0, |known| known.in_flight),
                avoid_until: known
                    .as_ref()
                    .map(|known| known.avoid_until)
                    .unwrap_or_default(),
                rest_until: known.map(|known| known.rest_until).unwrap_or_default(),
            };
            self.replicas
                .entry(service.clone())
                .or_default()
                .push(replica);
        }
        self.serve_all(cx)
    }

    /// Assigns free slots, and refuses the calls that have waited too long.
    pub fn tick(&mut self, cx: &mut Cx<'_>) -> Vec<SlotDecision> {
        let mut decisions = self.serve_all(cx);
        for queue in self.waiting.values_mut() {
            while let Some(expired) = queue.pop_front_if(|waiting| cx.now >= waiting.give_up) {
                let refusal = Refusal::retry_after(RefusalKind::Overloaded, RETRY_AFTER);
                decisions.push(SlotDecision {
                    request: expired.request,
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
        // A call that no replica takes before its wait is over is refused at once.
        let opens_at = replicas.iter().filter_map(Replica::opens_at).min();
        while let Some(late) =
            queue.pop_front_if(|waiting| opens_at.is_none_or(|at| at >= waiting.give_up))
        {
            let left = opens_at.map_or(RETRY_AFTER, |at| at.since(cx.now));
            decisions.push(SlotDecision {
                request: late.request,
                outcome: Err(Refusal::retry_after(RefusalKind::NoTarget, left)),
            });
        }
        while !queue.is_empty() {
            let Some(replica) = pick_replica(cx, replicas) else {
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

/// Returns the open replica with the most free capacity for this instance.
fn pick_replica<'a>(cx: &Cx<'_>, replicas: &'a mut [Replica]) -> Option<&'a mut Replica> {
    let shares: u32 = replicas
        .iter()
        .map(|replica| replica.concurrency_share(&cx.ownership.map, &cx.ownership.local))
        .sum();
    // With more instances than slots, some instances' shares are all zero. Such an instance may run
    // one call at a time, or its callers would never be served.
    let min_share = u32::from(shares == 0);
    replicas
        .iter_mut()
        .filter(|replica| replica.is_open(cx.now))
        .filter_map(|replica| {
            let share = replica
                .concurrency_share(&cx.ownership.map, &cx.ownership.local)
                .max(min_share);
            let free = share
                .checked_sub(replica.in_flight)
                .filter(|free| *free > 0)?;
            Some((free, replica))
        })
        .max_by_key(|(free, replica)| (*free, std::cmp::Reverse(replica.id.clone())))
        .map(|(_free, replica)| replica)
}
