//! What travels between instances and the platform, and how it arrives.

use std::time::Duration;

use bluebellstage_core::membership::MembershipMessage;
use bluebellstage_core::{
    Action, Incarnation, InstanceId, Notice, PeerMessage, PlatformAnswer, PlatformCall,
    PlatformReply, Revision, Time,
};
use rand::Rng;

use super::membership_weather::{MS, PlatformState};
use super::membership_world::{Life, TICK, World};

/// A call without an answer by then is answered as unknown.
const CALL_TIMEOUT: u64 = 1_500 * MS;

/// How long a naive lease holds.
const LEASE: Duration = Duration::from_secs(2);

/// Time from joining until the catalogue counts as loaded, and from a stop until it has drained.
const LOAD: u64 = 100 * MS;

#[derive(Debug)]
pub enum Input {
    Tick,
    Message(InstanceId, PeerMessage),
    Answer(PlatformAnswer),
}

#[derive(Debug)]
pub enum Arrival {
    /// At an instance; `life` is set where another life must not get it.
    At {
        node: usize,
        life: Option<Incarnation>,
        input: Input,
    },
    /// At the platform.
    Call(Flight),
}

/// A platform call on its way.
#[derive(Debug)]
pub struct Flight {
    node: usize,
    life: Incarnation,
    call: PlatformCall,
    asked: Time,
    sent: u64,
    /// The caller has not been told yet that its call is lost.
    awaited: bool,
}

impl World {
    pub fn arrive(&mut self, arrival: Arrival) {
        match arrival {
            Arrival::At { node, life, input } => {
                let Some(node) = self.receiver(node, life) else {
                    return;
                };
                if !self.nodes[node].frozen {
                    let ticks = matches!(input, Input::Tick);
                    self.step(node, input);
                    if ticks {
                        self.schedule_tick(node);
                    }
                } else if !matches!(input, Input::Tick) {
                    self.nodes[node].held.push_back(input);
                }
            }
            Arrival::Call(flight) => self.serve(&flight),
        }
    }

    /// The running life that something arrives at: this very one, or whichever has the name now.
    fn receiver(&self, node: usize, life: Option<Incarnation>) -> Option<usize> {
        let Some(wanted) = life else {
            return self.nodes[node].life.as_ref().map(|_| node);
        };
        let is_wanted = |life: &Life| life.incarnation == wanted;
        let mut nodes = self.nodes.iter();
        nodes.position(|node| node.life.as_ref().is_some_and(is_wanted))
    }

    pub fn schedule_tick(&mut self, node: usize) {
        let Some(life) = &self.nodes[node].life else {
            return;
        };
        let life = Some(life.incarnation);
        self.enqueue(
            self.now + TICK,
            Arrival::At {
                node,
                life,
                input: Input::Tick,
            },
        );
    }

    pub fn step(&mut self, node: usize, input: Input) {
        let now = self.now;
        let slot = &mut self.nodes[node];
        let local = slot.clock.read(now);
        let Some(life) = &mut slot.life else { return };
        let membership = &mut life.membership;
        let catalogue = Revision(1);
        let mut out = Vec::new();
        match input {
            Input::Tick => {
                if now >= life.started + LOAD && membership.ownership().has_lease(local) {
                    membership.set_ready(local);
                }
                if life.stopping.is_some_and(|at| now >= at + LOAD) {
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
                    life.leased_until = local + LEASE;
                }
                membership.platform(local, answer, &mut out);
            }
        }
        let incarnation = life.incarnation;
        let has_left = membership.has_left();
        for action in out {
            self.carry_out(node, incarnation, action);
        }
        if has_left {
            self.kill(node);
        }
    }

    fn carry_out(&mut self, node: usize, life: Incarnation, action: Action) {
        match action {
            Action::Send { to, message } => self.send(node, &to, &message),
            Action::Platform(call) => self.call(node, life, call),
            Action::Notice(Notice::ObjectMalformed(name)) => panic!("{name} is malformed"),
            _ => {}
        }
    }

    fn send(&mut self, from: usize, to: &InstanceId, message: &PeerMessage) {
        self.traffic[from].messages += 1;
        if self.count_bytes {
            let text = serde_json::to_string(message).expect("messages serialise");
            self.traffic[from].bytes += text.len() as u64;
            self.traffic[from].binary_bytes += binary_size(message);
        }
        let Some(node) = self.nodes.iter().position(|node| node.id == *to) else {
            return;
        };
        if self.cuts.contains(&(from, node)) || self.chance(self.weather.loss) {
            return;
        }
        let copies = if self.chance(self.weather.doubled) {
            2
        } else {
            1
        };
        for _ in 0..copies {
            let input = Input::Message(self.nodes[from].id.clone(), message.clone());
            let at = self.now + 300 + self.rng.random_range(0..=self.weather.delay * MS);
            self.enqueue(
                at,
                Arrival::At {
                    node,
                    life: None,
                    input,
                },
            );
        }
    }

    fn call(&mut self, node: usize, life: Incarnation, call: PlatformCall) {
        self.traffic[node].platform_calls += 1;
        let mut flight = Flight {
            node,
            life,
            call,
            asked: self.nodes[node].clock.read(self.now),
            sent: self.now,
            awaited: true,
        };
        let state = self.weather.platform;
        if state == PlatformState::Away {
            self.answer(&flight, PlatformReply::Unavailable, MS);
            return;
        }
        if state == PlatformState::Hanging || self.nodes[node].cut_from_platform {
            self.answer(&flight, PlatformReply::Unknown, CALL_TIMEOUT);
            return;
        }
        let longest = if state == PlatformState::Slow {
            3_000
        } else {
            4
        };
        let delay = self.rng.random_range(MS..=longest * MS);
        if delay >= CALL_TIMEOUT {
            self.answer(&flight, PlatformReply::Unknown, CALL_TIMEOUT);
            flight.awaited = false;
        }
        self.enqueue(self.now + delay, Arrival::Call(flight));
    }

    fn serve(&mut self, flight: &Flight) {
        let reply = self.platform.serve(self.now, flight.call.op.clone());
        if self.watch && matches!(reply, PlatformReply::Written(_)) {
            for node in 0..self.nodes.len() {
                self.hint(node);
            }
        }
        if !flight.awaited {
            return;
        }
        let rest = (flight.sent + CALL_TIMEOUT).saturating_sub(self.now);
        let is_lost = self.weather.platform == PlatformState::LosesAnswers && self.chance(50);
        if is_lost || rest < MS {
            self.answer(flight, PlatformReply::Unknown, rest);
            return;
        }
        self.answer(flight, reply, MS);
    }

    /// Tells an instance that the map object changed.
    pub fn hint(&mut self, node: usize) {
        let slot = &mut self.nodes[node];
        let local = slot.clock.read(self.now);
        let is_reached = !slot.frozen && !slot.cut_from_platform;
        let Some(life) = slot.life.as_mut().filter(|_| is_reached) else {
            return;
        };
        let incarnation = life.incarnation;
        let mut out = Vec::new();
        life.membership.map_hint(local, &mut out);
        for action in out {
            self.carry_out(node, incarnation, action);
        }
    }

    fn answer(&mut self, flight: &Flight, reply: PlatformReply, delay: u64) {
        let answer = PlatformAnswer {
            id: flight.call.id,
            purpose: flight.call.purpose.clone(),
            asked: flight.asked,
            reply,
        };
        let arrival = Arrival::At {
            node: flight.node,
            life: Some(flight.life),
            input: Input::Answer(answer),
        };
        self.enqueue(self.now + delay, arrival);
    }

    fn chance(&mut self, percent: u8) -> bool {
        percent > 0 && self.rng.random_range(0..100) < percent
    }

    pub fn enqueue(&mut self, at: u64, arrival: Arrival) {
        self.next += 1;
        self.queue.insert((at, self.next), arrival);
    }
}

/// Bytes of a heartbeat as bincode writes it with variable-width integers; maps count nothing.
fn binary_size(message: &PeerMessage) -> u64 {
    let PeerMessage::Membership(MembershipMessage::Heartbeat(beat)) = message else {
        return 0;
    };
    let numbers = [
        beat.incarnation.0,
        beat.sequence,
        beat.map.0,
        beat.catalogue.0,
        beat.echo_incarnation.0,
        beat.echo,
        beat.retired_below.0,
    ];
    let names = beat
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
