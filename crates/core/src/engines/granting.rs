//! Letting requests into engines.

use xxhash_rust::xxh3::xxh3_64;

use crate::{AdapterRef, Placement, TargetId};

use super::engine::{Engine, Fence};
use super::home::{GroupHome, Outstanding};
use super::io::Io;
use super::message::Grant;
use super::queue::{AskRef, Place, Waiting};
use super::tenure::Tenure;
use super::timing::{ANSWER_WAIT, FLIGHT};
use super::{EnginesMessage, PermitRef};

impl GroupHome {
    /// Grants all that can run now, in the queue's order; what waits for a load blocks nobody.
    pub(super) fn grant(&mut self, io: &mut Io<'_, '_>) {
        let knows = self.tenure.as_ref().is_some_and(Tenure::knows_permits);
        if !knows || self.queue.is_empty() {
            return;
        }
        let mut places: u32 = self.engines.values().map(Engine::free_places).sum();
        let order: Vec<Place> = self.queue.iter().map(|(place, _)| place).collect();
        for place in order {
            if places == 0 {
                return;
            }
            if self.grant_one(io, place) {
                places -= 1;
            }
        }
    }

    fn grant_one(&mut self, io: &mut Io<'_, '_>, place: Place) -> bool {
        let Some(target) = self.queue.get(place).and_then(|it| self.engine_for(io, it)) else {
            return false;
        };
        let Some(waiting) = self.queue.serve(place) else {
            return false;
        };
        let now = io.now();
        if let Some(engine) = self.engines.get_mut(&target) {
            engine.permit_out(&waiting.ask.adapter, now);
        }
        let permit = PermitRef {
            revision: io.cx.own.revision(),
            number: self.next_permit,
        };
        self.next_permit += 1;
        let out = Outstanding {
            holder: waiting.from.holder,
            number: Some(waiting.from.number),
            target,
            adapter: waiting.ask.adapter,
            granted: now,
            taken: false,
            resend_at: now + ANSWER_WAIT,
        };
        self.permits.insert(permit, out);
        self.send_grant(io, permit);
        true
    }

    /// The engine for a waiting request: one that holds its adapter, the emptiest.
    fn engine_for(&self, io: &Io<'_, '_>, waiting: &Waiting) -> Option<TargetId> {
        let bound = waiting.bound.as_ref();
        self.engines
            .values()
            .filter(|engine| bound.is_none_or(|id| *id == engine.id))
            .filter(|engine| self.may_grant(io, engine, &waiting.ask.adapter))
            .max_by_key(|engine| (engine.free_places(), &engine.id))
            .map(|engine| engine.id.clone())
    }

    /// Whether a request on `adapter` may be let into `engine`.
    ///
    /// Guards against a former home's unload that is still on its way: an engine that checks
    /// fencing numbers has answered an order with this home's, so it refuses older ones; of an
    /// engine that doesn't, either `FLIGHT` has passed, or a permit of the former home was still
    /// out for the adapter, which that home therefore did not unload.
    fn may_grant(&self, io: &Io<'_, '_>, engine: &Engine, adapter: &AdapterRef) -> bool {
        let Some(tenure) = &self.tenure else {
            return false;
        };
        let fenced = match (engine.checks_fencing, engine.fence) {
            (true, fence) => fence == Fence::Raised,
            (false, _) => io.now() >= tenure.began + FLIGHT || engine.inherited.contains(adapter),
        };
        let draining = engine.slots.get(adapter).is_some_and(|slot| slot.draining);
        fenced
            && engine.known
            && engine.is_open()
            && engine.free_places() > 0
            && engine.holds(adapter)
            && !draining
    }

    fn send_grant(&self, io: &mut Io<'_, '_>, permit: PermitRef) {
        let Some(out) = self.permits.get(&permit) else {
            return;
        };
        let (Some(number), Some(engine)) = (out.number, self.engines.get(&out.target)) else {
            return;
        };
        let grant = Grant {
            number,
            incarnation: out.holder.incarnation,
            group: self.id.clone(),
            permit,
            target: out.target.clone(),
            address: engine.address,
            status: self.status(),
        };
        io.send(&out.holder.id, EnginesMessage::Grant(Box::new(grant)));
    }

    /// Repeats grants that nobody took: the message was lost.
    pub(super) fn resend_grants(&mut self, io: &mut Io<'_, '_>) {
        let now = io.now();
        let due: Vec<PermitRef> = self
            .permits
            .iter()
            .filter(|(_, out)| !out.taken && out.resend_at <= now)
            .map(|(permit, _)| *permit)
            .collect();
        for permit in due {
            if let Some(out) = self.permits.get_mut(&permit) {
                out.resend_at = now + ANSWER_WAIT;
            }
            self.send_grant(io, permit);
        }
    }

    /// Answers a repeated ask that was granted already; false if it was not.
    pub(super) fn resend_grant(&self, io: &mut Io<'_, '_>, ask: &AskRef) -> bool {
        let granted = self
            .permits
            .iter()
            .find(|(_, out)| out.number == Some(ask.number) && out.holder == ask.holder)
            .map(|(permit, _)| *permit);
        if let Some(permit) = granted {
            self.send_grant(io, permit);
        }
        granted.is_some()
    }

    /// The engine that a baseline chooses as the ask arrives; none for affinity, which chooses as
    /// places come free.
    pub(super) fn bind(&mut self, placement: Placement, adapter: &AdapterRef) -> Option<TargetId> {
        let open: Vec<&Engine> = self.engines.values().filter(|it| it.is_open()).collect();
        if open.is_empty() {
            return None;
        }
        match placement {
            Placement::Affinity => None,
            Placement::Random => {
                self.random = xxh3_64(&self.random.to_le_bytes());
                let count = u64::try_from(open.len()).unwrap_or(1);
                let index = usize::try_from(self.random % count).unwrap_or_default();
                open.get(index).map(|engine| engine.id.clone())
            }
            Placement::LeastLoaded => open
                .iter()
                .min_by_key(|engine| (engine.permits() + self.bound_to(&engine.id), &engine.id))
                .map(|engine| engine.id.clone()),
            Placement::HashOnly => open
                .iter()
                .max_by_key(|engine| xxh3_64(format!("{adapter}\n{}", engine.id).as_bytes()))
                .map(|engine| engine.id.clone()),
        }
    }

    fn bound_to(&self, target: &TargetId) -> u32 {
        let bound = self
            .queue
            .iter()
            .filter(|(_, waiting)| waiting.bound.as_ref() == Some(target));
        u32::try_from(bound.count()).unwrap_or(u32::MAX)
    }
}
