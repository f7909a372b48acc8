//! Load on the platform and of the instances.

use super::super::evidence::{Counters, Evidence, InstanceCounters};
use super::super::report::{InstanceLoad, PlatformLoad};
use super::{Measures, float};

impl Measures<'_> {
    pub(super) fn platform(&self) -> PlatformLoad {
        let Evidence { before, after, .. } = &self.run.evidence;
        let seconds = float(self.elapsed_micros()) / 1e6;
        let (before, after) = (before.platform, after.platform);
        let rate = |after: u64, before: u64| float(after.saturating_sub(before)) / seconds;
        let kinds = [
            ("get", after.get, before.get),
            ("create", after.create, before.create),
            ("update", after.update, before.update),
            ("delete", after.delete, before.delete),
            ("list", after.list, before.list),
            ("watch", after.watch, before.watch),
            ("patch", after.patch, before.patch),
        ];
        let by_kind = kinds.map(|(name, after, before)| (name.to_owned(), rate(after, before)));
        PlatformLoad {
            calls_per_second: rate(after.total(), before.total()),
            by_kind: by_kind.into(),
        }
    }

    pub(super) fn instances(&self) -> InstanceLoad {
        let Evidence { before, after, .. } = &self.run.evidence;
        let seconds = float(self.elapsed_micros()) / 1e6;
        let mut load = InstanceLoad::default();
        for (name, now) in &after.instances {
            load.resident_mib
                .insert(name.clone(), float(now.resident) / 1_048_576.0);
            // One that began again in between counts from zero.
            let then = earlier(before, name, now.cpu_seconds);
            let bytes = (now.control_bytes - then.control_bytes) / seconds;
            load.control_bytes_per_second.insert(name.clone(), bytes);
            load.most_control_bytes_per_second = load.most_control_bytes_per_second.max(bytes);
            let processors = (now.cpu_seconds - then.cpu_seconds) / seconds;
            load.processors.insert(name.clone(), processors);
        }
        load
    }
}

fn earlier(before: &Counters, name: &str, cpu_seconds: f64) -> InstanceCounters {
    let then = before.instances.get(name).copied().unwrap_or_default();
    if then.cpu_seconds > cpu_seconds {
        return InstanceCounters::default();
    }
    then
}
