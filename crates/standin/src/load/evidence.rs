//! What the stand-ins and instances say after a run.

use std::collections::BTreeMap;

use crate::clock::now;
use crate::engine::EngineLog;
use crate::fleet::Fleet;
use crate::platform::{CallCounts, PlatformLog};
use crate::service::ServiceLog;
use crate::store::StoreLog;
use crate::{Micros, SeenRequest};

/// Counters read before and after the arrivals.
#[derive(Clone, Debug, Default)]
pub(super) struct Counters {
    /// When they were read.
    pub(super) at: Micros,
    pub(super) platform: CallCounts,
    /// By instance; one that does not answer is left out.
    pub(super) instances: BTreeMap<String, InstanceCounters>,
}

/// An instance's counters.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct InstanceCounters {
    pub(super) control_bytes: f64,
    pub(super) cpu_seconds: f64,
    pub(super) resident: u64,
}

/// All that was said.
#[derive(Debug)]
pub(super) struct Evidence {
    pub(super) engines: Vec<(String, EngineLog)>,
    pub(super) services: Vec<ServiceLog>,
    pub(super) store: StoreLog,
    pub(super) before: Counters,
    pub(super) after: Counters,
    /// Requests to stand-ins in which a caller's key stood.
    pub(super) keys_seen: usize,
}

impl Evidence {
    /// Reads the counters.
    ///
    /// # Errors
    /// If the platform does not answer.
    pub(super) async fn counters(fleet: &Fleet) -> eyre::Result<Counters> {
        let mut counters = Counters {
            at: now(),
            platform: fleet.platform.get("/control/calls").await?,
            ..Counters::default()
        };
        for instance in &fleet.instances {
            let Some(process) = &instance.process else {
                continue;
            };
            let (Ok(metrics), Some(usage)) = (instance.admin.metrics().await, process.usage())
            else {
                continue;
            };
            let read = InstanceCounters {
                control_bytes: metrics.control_sent_bytes(),
                cpu_seconds: usage.cpu_seconds,
                resident: usage.resident,
            };
            counters.instances.insert(instance.name.clone(), read);
        }
        Ok(counters)
    }

    /// Reads all logs and searches them for keys.
    ///
    /// # Errors
    /// If a stand-in does not answer.
    pub(super) async fn gather(
        fleet: &Fleet,
        before: &Counters,
        keys: &[String],
    ) -> eyre::Result<Self> {
        // Faults that outlasted the arrivals would keep the logs from being read.
        let controls = fleet.engines.iter().chain(&fleet.services);
        for control in controls.chain([&fleet.store, &fleet.platform]) {
            control.heal().await?;
        }
        let after = Self::counters(fleet).await?;
        let mut evidence = Self {
            engines: Vec::new(),
            services: Vec::new(),
            store: fleet.store.log().await?,
            before: before.clone(),
            after,
            keys_seen: 0,
        };
        for engine in &fleet.engines {
            let log = engine.log::<EngineLog>().await?;
            evidence.search(&log.seen, keys);
            evidence.engines.push((engine.name.clone(), log));
        }
        for service in &fleet.services {
            let log = service.log::<ServiceLog>().await?;
            evidence.search(&log.seen, keys);
            evidence.services.push(log);
        }
        let platform = fleet.platform.log::<PlatformLog>().await?;
        evidence.search(&platform.seen, keys);
        let store = std::mem::take(&mut evidence.store.seen);
        evidence.search(&store, keys);
        Ok(evidence)
    }

    fn search(&mut self, seen: &[SeenRequest], keys: &[String]) {
        let holds_key = |seen: &&SeenRequest| keys.iter().any(|key| seen.contains(key));
        self.keys_seen += seen.iter().filter(holds_key).count();
    }
}
