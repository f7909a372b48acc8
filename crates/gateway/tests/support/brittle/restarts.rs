//! Kills and restarts of the instances of a simulation.

use bluebellstage_core::Incarnation;

use super::event::Event;
use super::{HOP, MAX_REPORT_WAIT, Simulation, id};

impl Simulation {
    /// Kills all instances for which `is_killed` holds. Each starts again after `back_after` milliseconds.
    pub fn restart_some(
        &mut self,
        is_killed: impl Fn(usize) -> bool,
        back_after: impl Fn(usize) -> u64,
    ) {
        let killed = (0..self.fleet.len()).filter(|idx| is_killed(*idx));
        let mut killed = killed.map(|idx| (back_after(idx), idx)).collect::<Vec<_>>();
        killed.sort_unstable();
        for (_, idx) in &killed {
            self.fleet.kill(*idx);
        }
        let mut elapsed = 0;
        for (back_after, idx) in killed {
            self.run_ms(back_after - elapsed);
            elapsed = back_after;
            self.restart(idx);
        }
    }

    pub fn restart(&mut self, idx: usize) {
        self.fleet.restart(idx, false);
        self.register(idx);
        self.ask_first(idx);
    }

    /// Lets a new process ask targets what they report before it sends requests.
    fn ask_first(&mut self, idx: usize) {
        let now = self.fleet.now;
        let tables = self.fleet.tables_mut(idx);
        tables.awaits_first_reports = true;
        let incarnation = tables.local.incarnation;
        let asked = tables.targets_to_ask_first(now);
        let answers = |number: &usize| {
            let target = &self.targets[*number];
            let is_asked = asked.iter().any(|asked| asked.id == id(*number));
            is_asked && !target.is_away() && target.silent_until.is_none()
        };
        let first = (0..self.targets.len()).find(answers);
        let wait = if first.is_some() {
            HOP * 2
        } else {
            MAX_REPORT_WAIT
        };
        self.schedule(wait, Event::FirstReport(idx, incarnation, first));
    }

    pub(super) fn receive_report(&mut self, idx: usize, asker: Incarnation, number: Option<usize>) {
        if self.fleet.tables(idx).local.incarnation != asker {
            return;
        }
        if let Some(number) = number {
            self.tell(idx, number);
        }
        self.fleet.tables_mut(idx).awaits_first_reports = false;
    }
}
