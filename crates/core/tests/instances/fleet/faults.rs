//! Faults, operators and callers: what a test does to a fleet.

use bluebellstage_core::catalogue::ChangeRequest;
use bluebellstage_core::{
    CallerRequest, CallerWork, Event, Finish, KeyDigest, RequestEvent, RequestId, TargetId, Tokens,
};

use super::callers::{Answer, Caller};
use super::drive::{Delivery, Fleet};

impl Fleet {
    pub fn start(&mut self, node: usize) {
        self.lives += 1;
        let cfg = self.cfg.clone();
        self.nodes[node].start(self.now, self.lives, cfg);
        self.list_instances();
        let life = self.lives;
        self.schedule(self.now, Delivery::Tick { node, life });
    }

    pub fn kill(&mut self, node: usize) {
        self.nodes[node].instance = None;
        self.nodes[node].frozen = false;
        self.lose_connections(node);
        self.list_instances();
    }

    pub fn freeze(&mut self, node: usize) {
        self.nodes[node].frozen = true;
    }

    pub fn thaw(&mut self, node: usize) {
        self.nodes[node].frozen = false;
        for delivery in std::mem::take(&mut self.held) {
            self.schedule(self.now, delivery);
        }
    }

    pub fn stop(&mut self, node: usize) {
        self.step(node, Event::Stop);
    }

    /// Cuts one instance off from all others; the platform stays in reach.
    pub fn isolate(&mut self, node: usize) {
        let ids: Vec<_> = self.nodes.iter().map(|other| other.id.clone()).collect();
        for other in ids.iter().filter(|other| **other != ids[node]) {
            self.network.cut(&ids[node], other);
            self.network.cut(other, &ids[node]);
        }
    }

    pub fn cut_platform(&mut self, node: usize) {
        self.network.cut_platform(&self.nodes[node].id);
    }

    pub fn restart_target(&mut self, id: &TargetId) {
        let broken = self.targets.get_mut(id).unwrap().restart();
        self.interrupt(broken, Tokens(0));
    }

    /// Breaks off all that an engine runs, after so many tokens of each.
    pub fn break_off(&mut self, id: &TargetId, delivered: Tokens) {
        let running = &mut self.targets.get_mut(id).unwrap().running;
        let broken = std::mem::take(running).into_keys().collect();
        self.interrupt(broken, delivered);
    }

    fn interrupt(&mut self, broken: Vec<RequestId>, delivered: Tokens) {
        for request in broken {
            self.end_run(request);
            let node = self.callers[&request].node;
            let life = self.nodes[node].incarnation.0;
            let event = RequestEvent::Finished(Finish::Interrupted { delivered });
            self.schedule(
                self.now,
                Delivery::Event {
                    node,
                    life,
                    event: Event::Request { id: request, event },
                },
            );
        }
    }

    pub fn set_leaving(&mut self, id: &TargetId) {
        self.targets.get_mut(id).unwrap().info.leaving = true;
        self.list_targets();
    }

    pub fn change(&mut self, node: usize, request: ChangeRequest) {
        self.step(node, Event::Change(request));
    }

    pub fn ask(&mut self, node: usize, key: &str, work: CallerWork) -> RequestId {
        self.requests += 1;
        let id = RequestId(self.requests);
        let caller = Caller {
            node,
            key: key.to_owned(),
            work: work.clone(),
            asked: self.now,
            answer: None,
            answered: 0,
        };
        self.callers.insert(id, caller);
        if self.nodes[node].instance.is_none() {
            self.answer(id, Answer::ConnectionLost);
            return id;
        }
        let event = Event::Request {
            id,
            event: RequestEvent::Arrived(CallerRequest {
                key: KeyDigest::of(key),
                work,
            }),
        };
        let life = self.nodes[node].incarnation.0;
        self.schedule(self.now, Delivery::Event { node, life, event });
        id
    }

    pub fn answer_of(&self, id: RequestId) -> Option<&Answer> {
        self.callers[&id].answer.as_ref()
    }
}
