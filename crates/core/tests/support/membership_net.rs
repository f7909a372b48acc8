//! Delivery of messages between instances, and of calls to the platform.

use std::time::Duration;

use bluebellstage_core::membership::MembershipMessage;
use bluebellstage_core::{
    Action, Incarnation, InstanceId, Notice, PeerMessage, PlatformCall, PlatformReply,
    PlatformResponse, Revision, Time,
};
use rand::Rng;

use super::membership_cluster::{Cluster, Process, TICK_INTERVAL};
use super::membership_conditions::{MS, PlatformState};

/// A call without a response by then completes with an unknown outcome, in microseconds.
const CALL_TIMEOUT: u64 = 1_500 * MS;

/// Duration of the lease that a naive rule uses.
const PLATFORM_LEASE: Duration = Duration::from_secs(2);

/// Microseconds from the start until the catalogue is loaded, and from a stop until the instance is
/// drained.
const LOAD_TIME: u64 = 100 * MS;

#[derive(Debug)]
pub enum Input {
    Tick,
    Message(InstanceId, PeerMessage),
    Answer(PlatformResponse),
}

#[derive(Debug)]
pub enum Arrival {
    /// At an instance; `incarnation` is set if no other incarnation may receive the input.
    At {
        node: usize,
        incarnation: Option<Incarnation>,
        input: Input,
    },
    /// At the platform.
    Call(PendingCall),
}

/// A platform call in flight.
#[derive(Debug)]
pub struct PendingCall {
    node: usize,
    incarnation: Incarnation,
    call: PlatformCall,
    /// When the call was sent, by the clock of the instance.
    requested_at: Time,
    sent_at: u64,
    /// The call has not timed out yet.
    is_awaited: bool,
}

impl Cluster {
    pub fn arrive(&mut self, arrival: Arrival) {
        match arrival {
            Arrival::At {
                node,
                incarnation,
                input,
            } => {
                let Some(node) = self.receiver(node, incarnation) else {
                    return;
                };
                if !self.nodes[node].is_frozen {
                    let is_tick = matches!(input, Input::Tick);
                    self.step(node, input);
                    if is_tick {
                        self.schedule_tick(node);
                    }
                } else if !matches!(input, Input::Tick) {
                    self.nodes[node].held_inputs.push_back(input);
                }
            }
            Arrival::Call(pending) => self.serve(&pending),
        }
    }

    /// Returns the node that receives an input: the one that runs `incarnation`, or `node` if any
    /// incarnation of it runs.
    fn receiver(&self, node: usize, incarnation: Option<Incarnation>) -> Option<usize> {
        let Some(wanted) = incarnation else {
            return self.nodes[node].process.as_ref().map(|_| node);
        };
        let is_wanted = |process: &Process| process.incarnation == wanted;
        let mut nodes = self.nodes.iter();
        nodes.position(|node| node.process.as_ref().is_some_and(is_wanted))
    }

    pub fn schedule_tick(&mut self, node: usize) {
        let Some(process) = &self.nodes[node].process else {
            return;
        };
        let incarnation = Some(process.incarnation);
        self.enqueue(
            self.now + TICK_INTERVAL,
            Arrival::At {
                node,
                incarnation,
                input: Input::Tick,
            },
        );
    }

    pub fn step(&mut self, node: usize, input: Input) {
        let now = self.now;
        let node_state = &mut self.nodes[node];
        let local = node_state.clock.read(now);
        let Some(process) = &mut node_state.process else {
            return;
        };
        let membership = &mut process.membership;
        let catalogue = Revision(1);
        let mut out = Vec::new();
        match input {
            Input::Tick => {
                if now >= process.started_at + LOAD_TIME && membership.ownership().has_lease(local)
                {
                    membership.set_ready(local);
                }
                if process
                    .stopping_since
                    .is_some_and(|at| now >= at + LOAD_TIME)
                {
                    membership.set_drained(local);
                }
                membership.tick(local, catalogue, &mut out);
            }
            Input::Message(from, PeerMessage::Membership(message)) => {
                membership.message(local, &from, message, catalogue, &mut out);
            }
            Input::Message(..) => {}
            Input::Answer(answer) => {
                if matches!(answer.reply, PlatformReply::Got(_)) {
                    process.platform_lease_until = local + PLATFORM_LEASE;
                }
                membership.platform(local, answer, &mut out);
            }
        }
        let incarnation = process.incarnation;
        let has_left = membership.has_left();
        for action in out {
            self.perform(node, incarnation, action);
        }
        if has_left {
            self.kill(node);
        }
    }

    fn perform(&mut self, node: usize, incarnation: Incarnation, action: Action) {
        match action {
            Action::Send { to, message } => self.send(node, &to, &message),
            Action::Platform(call) => self.call(node, incarnation, call),
            Action::Notice(Notice::ObjectMalformed(name)) => panic!("{name} is malformed"),
            _ => {}
        }
    }

    fn send(&mut self, from: usize, to: &InstanceId, message: &PeerMessage) {
        self.traffic[from].messages += 1;
        if self.count_bytes {
            let json = serde_json::to_string(message).expect("messages are serialisable");
            self.traffic[from].json_bytes += json.len() as u64;
            self.traffic[from].bincode_bytes += bincode_size(message);
        }
        let Some(node) = self.nodes.iter().position(|node| node.id == *to) else {
            return;
        };
        if self.blocked_links.contains(&(from, node))
            || self.roll_percent(self.conditions.loss_percent)
        {
            return;
        }
        let copies = if self.roll_percent(self.conditions.duplicated_percent) {
            2
        } else {
            1
        };
        for _ in 0..copies {
            let input = Input::Message(self.nodes[from].id.clone(), message.clone());
            let at = self.now + 300 + self.rng.random_range(0..=self.conditions.max_delay_ms * MS);
            self.enqueue(
                at,
                Arrival::At {
                    node,
                    incarnation: None,
                    input,
                },
            );
        }
    }

    fn call(&mut self, node: usize, incarnation: Incarnation, call: PlatformCall) {
        self.traffic[node].platform_calls += 1;
        let mut pending = PendingCall {
            node,
            incarnation,
            call,
            requested_at: self.nodes[node].clock.read(self.now),
            sent_at: self.now,
            is_awaited: true,
        };
        let state = self.conditions.platform;
        if state == PlatformState::Unavailable {
            self.answer(&pending, PlatformReply::Unavailable, MS);
            return;
        }
        if state == PlatformState::Hanging || self.nodes[node].is_isolated_from_platform {
            self.answer(&pending, PlatformReply::Unknown, CALL_TIMEOUT);
            return;
        }
        let max_delay_ms = if state == PlatformState::Slow {
            3_000
        } else {
            4
        };
        let delay = self.rng.random_range(MS..=max_delay_ms * MS);
        if delay >= CALL_TIMEOUT {
            self.answer(&pending, PlatformReply::Unknown, CALL_TIMEOUT);
            pending.is_awaited = false;
        }
        self.enqueue(self.now + delay, Arrival::Call(pending));
    }

    fn serve(&mut self, pending: &PendingCall) {
        let reply = self.platform.serve(self.now, pending.call.op.clone());
        if self.has_watch && matches!(reply, PlatformReply::Written(_)) {
            for node in 0..self.nodes.len() {
                self.send_map_hint(node);
            }
        }
        if !pending.is_awaited {
            return;
        }
        let time_left = (pending.sent_at + CALL_TIMEOUT).saturating_sub(self.now);
        let is_lost =
            self.conditions.platform == PlatformState::LosesResponses && self.roll_percent(50);
        if is_lost || time_left < MS {
            self.answer(pending, PlatformReply::Unknown, time_left);
            return;
        }
        self.answer(pending, reply, MS);
    }

    /// Notifies an instance that the map object changed.
    pub fn send_map_hint(&mut self, node: usize) {
        let node_state = &mut self.nodes[node];
        let local = node_state.clock.read(self.now);
        let is_reachable = !node_state.is_frozen && !node_state.is_isolated_from_platform;
        let Some(process) = node_state.process.as_mut().filter(|_| is_reachable) else {
            return;
        };
        let incarnation = process.incarnation;
        let mut out = Vec::new();
        process.membership.map_hint(local, &mut out);
        for action in out {
            self.perform(node, incarnation, action);
        }
    }

    fn answer(&mut self, pending: &PendingCall, reply: PlatformReply, delay: u64) {
        let answer = PlatformResponse {
            id: pending.call.id,
            purpose: pending.call.purpose.clone(),
            sent_at: pending.requested_at,
            reply,
        };
        let arrival = Arrival::At {
            node: pending.node,
            incarnation: Some(pending.incarnation),
            input: Input::Answer(answer),
        };
        self.enqueue(self.now + delay, arrival);
    }

    /// Returns true with the given probability in percent.
    fn roll_percent(&mut self, percent: u8) -> bool {
        percent > 0 && self.rng.random_range(0..100) < percent
    }

    pub fn enqueue(&mut self, at: u64, arrival: Arrival) {
        self.next_sequence += 1;
        self.queue.insert((at, self.next_sequence), arrival);
    }
}

/// Returns the size of a heartbeat in bincode with variable-width integers; zero for a map.
fn bincode_size(message: &PeerMessage) -> u64 {
    let PeerMessage::Membership(MembershipMessage::Heartbeat(heartbeat)) = message else {
        return 0;
    };
    let numbers = [
        heartbeat.incarnation.0,
        heartbeat.sequence,
        heartbeat.map.0,
        heartbeat.catalogue.0,
        heartbeat.echo_incarnation.0,
        heartbeat.echo,
        heartbeat.retired_below.0,
    ];
    let names = heartbeat
        .unresponsive
        .iter()
        .map(|id| 1 + id.as_str().len() as u64);
    let tags = 3;
    tags + numbers.into_iter().map(varint_size).sum::<u64>() + names.sum::<u64>()
}

const fn varint_size(number: u64) -> u64 {
    match number {
        0..=250 => 1,
        251..=0xffff => 3,
        0x1_0000..=0xffff_ffff => 5,
        _ => 9,
    }
}
