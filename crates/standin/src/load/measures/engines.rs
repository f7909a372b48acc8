//! Load stalls and batches, from the engines' logs.

use std::collections::HashMap;

use super::super::quantiles::Times;
use super::super::report::{Batch, LoadStalls};
use super::{Measures, asked, float, share};
use crate::Micros;
use crate::caller::Work;
use crate::engine::{BatchTotals, OrderKind, OrderResult};
use crate::store::StoreOutcome;

impl Measures<'_> {
    pub(super) fn load_stalls(&self) -> LoadStalls {
        // Which engine ran a request, and the ends of the loads there, by adapter.
        let mut ran_on: HashMap<&str, (usize, Micros)> = HashMap::new();
        let mut loads: HashMap<(usize, &str), Vec<Micros>> = HashMap::new();
        let evidence = &self.run.evidence;
        for (engine, (_, log)) in evidence.engines.iter().enumerate() {
            for run in &log.runs {
                ran_on
                    .entry(&run.request_id)
                    .or_insert((engine, run.arrived));
            }
            let done = log
                .orders
                .iter()
                .filter(|order| order.kind == OrderKind::Load && order.result == OrderResult::Done);
            for order in done {
                loads
                    .entry((engine, &order.adapter))
                    .or_default()
                    .push(order.ended);
            }
        }
        let mut wait = Times::default();
        let mut total = 0;
        let mut drafts = 0;
        for record in self.measured() {
            let (Work::Draft(draft), Some(last)) = (&record.arrival.asked, record.trace.last())
            else {
                continue;
            };
            let Some(id) = last.request_id.as_deref() else {
                continue;
            };
            let Some((engine, arrived)) = ran_on.get(id) else {
                continue;
            };
            drafts += 1;
            let adapter = asked(draft);
            let ended = loads.get(&(*engine, &*adapter)).into_iter().flatten();
            let within = ended
                .copied()
                .filter(|end| (last.sent..=*arrived).contains(end));
            if let Some(end) = within.max() {
                wait.add(end - last.sent);
                total += end - last.sent;
            }
        }
        let quantiles = wait.quantiles();
        let over_rate = evidence.store.reads.iter();
        LoadStalls {
            stalled: usize::try_from(quantiles.count).unwrap_or(usize::MAX),
            share: share(quantiles.count, drafts),
            total_seconds: float(total) / 1e6,
            wait: quantiles,
            loads: evidence.engines.iter().map(|(_, log)| log.loads).sum(),
            over_rate: over_rate
                .filter(|read| read.outcome == StoreOutcome::OverRate)
                .count(),
        }
    }

    pub(super) fn batch(&self) -> Batch {
        let logs = || self.run.evidence.engines.iter().map(|(_, log)| &log.batch);
        let sum = |field: fn(&BatchTotals) -> u64| logs().map(field).sum::<u64>();
        let busy = sum(|totals| totals.busy_us);
        let engines = self.run.evidence.engines.len() as u64;
        let elapsed = self.elapsed_micros();
        let prompt = sum(|totals| totals.prefilled) + sum(|totals| totals.cached);
        Batch {
            efficiency: share(sum(|totals| totals.occupied), sum(|totals| totals.places)),
            tokens_per_busy_second: share(sum(|totals| totals.tokens), busy) * 1e6,
            busy: share(busy, elapsed * engines),
            cached: share(sum(|totals| totals.cached), prompt),
        }
    }
}
