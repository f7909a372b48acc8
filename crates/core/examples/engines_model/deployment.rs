//! The two deployments, at the sizes of today.

use super::support::engine::Speed;
use super::support::fleet::EngineSpec;

/// A base model's engines, adapters and workspaces.
#[derive(Clone, Debug)]
pub struct Deployment {
    pub name: &'static str,
    pub engines: u16,
    pub failure_domains: u16,
    pub spec: EngineSpec,
    pub speed: Speed,
    pub loads_per_second: u32,
    pub instances: usize,
    pub adapters: u32,
    /// Each workspace's part of the requests and of the adapters, in percent.
    pub workspaces: [u32; 5],
    /// Percent of requests that someone waits for; the rest is overnight work.
    pub urgent_percent: u32,
    /// Requests a second at which the engines are busy for about 70 percent.
    pub requests_per_second: f64,
}

impl Deployment {
    pub fn all() -> [Self; 2] {
        let gerplan = Self {
            name: "gerplan",
            engines: 9,
            failure_domains: 3,
            spec: EngineSpec {
                slots: 8,
                max_batch: 16,
                checks_fencing: true,
            },
            speed: Speed {
                base: 18_000,
                per_sequence: 600,
                per_prefill_token: 100,
            },
            loads_per_second: 3,
            instances: 6,
            adapters: 3_000,
            workspaces: [42, 30, 15, 9, 4],
            urgent_percent: 60,
            requests_per_second: 11.0,
        };
        let periyar = Self {
            name: "periyar",
            engines: 12,
            loads_per_second: 4,
            instances: 8,
            workspaces: [38, 34, 14, 10, 4],
            urgent_percent: 50,
            requests_per_second: 14.5,
            ..gerplan.clone()
        };
        [gerplan, periyar]
    }
}
