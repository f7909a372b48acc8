//! One instance with its own clock, which may be frozen or dead.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use bluebellstage_core::{
    FailureDomain, Incarnation, Instance, InstanceId, Member, MemberState, Time, Tuning,
};

/// An instance, or the place where one ran.
#[derive(Debug)]
pub struct Node {
    pub id: InstanceId,
    pub incarnation: Incarnation,
    pub instance: Option<Instance>,
    pub frozen: bool,
    pub ended: bool,
    offset: u64,
    number: u16,
}

impl Node {
    pub fn new(number: u16) -> Self {
        Self {
            id: InstanceId::try_from(format!("instance-{number}").as_str()).unwrap(),
            incarnation: Incarnation(0),
            instance: None,
            frozen: false,
            ended: false,
            // Clocks of different processes have nothing in common.
            offset: u64::from(number) * 7_777_777,
            number,
        }
    }

    pub fn start(&mut self, now: u64, incarnation: u64, cfg: Tuning) {
        self.incarnation = Incarnation(incarnation);
        self.frozen = false;
        self.ended = false;
        let me = self.member();
        self.instance = Some(Instance::new(
            cfg,
            me,
            u64::from(self.number),
            self.clock(now),
        ));
    }

    pub fn clock(&self, now: u64) -> Time {
        Time(now + self.offset)
    }

    pub fn is_running(&self) -> bool {
        self.instance.is_some() && !self.frozen
    }

    fn member(&self) -> Member {
        let address =
            |base: u16| SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), base + self.number);
        Member {
            id: self.id.clone(),
            incarnation: self.incarnation,
            failure_domain: FailureDomain::try_from(format!("domain-{}", self.number % 3).as_str())
                .unwrap(),
            caller_address: address(10_000),
            peer_address: address(20_000),
            state: MemberState::Joining,
        }
    }
}
