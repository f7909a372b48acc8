//! Builds a fleet.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use bluebellstage_core::{
    BaseModel, FailureDomain, ServiceId, SoftwareVersion, TargetId, TargetInfo, TargetKind, Tuning,
};

use super::Fleet;

/// What a fleet starts with.
#[derive(Clone, Debug)]
pub struct FleetBuilder {
    pub(super) instances: u16,
    pub(super) targets: Vec<TargetInfo>,
    pub(super) tuning: Tuning,
    pub(super) seed: u64,
    pub(super) list_lag: u64,
    software: &'static [&'static str],
}

impl FleetBuilder {
    pub fn instances(instances: u16) -> Self {
        Self {
            instances,
            targets: Vec::new(),
            tuning: Tuning::default(),
            seed: 1,
            list_lag: 1_500_000,
            software: &["v1"],
        }
    }

    pub fn engines(mut self, count: u16, slots: u32) -> Self {
        for number in 0..count {
            let kind = TargetKind::Engine {
                base_model: BaseModel::try_from("base").unwrap(),
                slots,
                max_batch: 4,
                checks_fencing: number % 2 == 0,
                software: self.software_of(number),
            };
            self.targets
                .push(target(&format!("engine-{number}"), number, kind));
        }
        self
    }

    /// Gives the engines added from now on these software versions, in turn.
    pub fn software(mut self, versions: &'static [&'static str]) -> Self {
        self.software = versions;
        self
    }

    fn software_of(&self, engine: u16) -> SoftwareVersion {
        let version = self.software[usize::from(engine) % self.software.len()];
        SoftwareVersion::try_from(version).unwrap()
    }

    pub fn service(mut self, name: &str, replicas: u16, concurrency: u32) -> Self {
        for number in 0..replicas {
            let kind = TargetKind::Service {
                service: ServiceId::try_from(name).unwrap(),
                concurrency,
            };
            self.targets
                .push(target(&format!("{name}-{number}"), number, kind));
        }
        self
    }

    pub fn seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }

    pub fn build(self) -> Fleet {
        Fleet::new(self)
    }
}

fn target(name: &str, number: u16, kind: TargetKind) -> TargetInfo {
    TargetInfo {
        id: TargetId::try_from(name).unwrap(),
        address: SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 30_000 + number),
        failure_domain: FailureDomain::try_from(format!("domain-{}", number % 3).as_str()).unwrap(),
        kind,
        leaving: false,
    }
}
