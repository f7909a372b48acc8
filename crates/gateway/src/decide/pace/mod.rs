//! Speed of targets, as all instances together measure it.
//!
//! An instance sees too few outcomes of one target to know how fast it is. Each reports what it has seen lately,
//! relays add the reports up, and every instance decides by the sums.

mod evidence;
mod report;
mod speed;
mod turns;

pub use self::report::{PaceReport, PaceReports, Work};
pub use self::speed::{Speed, are_uneven};

use std::collections::BTreeMap;
use std::time::Duration;

use bluebellstage_core::Time;

use self::evidence::{AgedWork, Evidence};
use self::report::MAX_AMOUNT_PER_MILLI;
use self::turns::Turns;
use super::rendezvous::ShortHash;
use super::streams::times::EventGap;
use super::target::Target;

/// Time after which a report that was not repeated is dropped.
const REPORT_TTL: Duration = Duration::from_secs(30);
/// Time after which the sums of a relay that is no longer heard give way to what peers report directly.
const RELAY_TTL: Duration = Duration::from_secs(2);
/// Minimum time of a unit of work, in seconds: clocks have millisecond resolution.
const MIN_SECONDS: f64 = 0.001;

/// The incarnation of a target, and its service.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PaceTarget {
    incarnation: ShortHash,
    service: ShortHash,
}

impl From<&Target> for PaceTarget {
    fn from(target: &Target) -> Self {
        let name = || ShortHash::of(target.id.as_str());
        Self {
            incarnation: target.incarnation().unwrap_or_else(name),
            service: ShortHash::of(target.service.as_str()),
        }
    }
}

/// Numbers of reports that were dropped.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct DroppedReports {
    /// Reports on targets that are not registered here.
    pub unknown: u64,
    /// Reports with values that no target shows.
    pub implausible: u64,
}

#[derive(Clone, Copy, Debug)]
struct Received {
    report: PaceReport,
    at: Time,
}

impl Received {
    /// Returns what the report still shows.
    fn aged_report(&self, now: Time) -> PaceReport {
        Evidence::of(&self.report, now.since(self.at), now).report()
    }
}

type Reports = BTreeMap<ShortHash, Received>;

/// Speed of targets, from this instance's outcomes and the reports of others.
#[derive(Debug, Default)]
pub struct Pace {
    /// Service of each registered target, by incarnation.
    services: BTreeMap<ShortHash, ShortHash>,
    local: BTreeMap<ShortHash, Evidence>,
    local_services: BTreeMap<ShortHash, Evidence>,
    turns: Turns,
    /// Reports that peers sent directly, by peer.
    peers: BTreeMap<ShortHash, Reports>,
    /// Sums of a relay.
    sums: Reports,
    sums_at: Option<Time>,
    /// What others have seen, by target and by service, as of the last sweep.
    others: BTreeMap<ShortHash, Evidence>,
    other_services: BTreeMap<ShortHash, Evidence>,
    sum_turns: Turns,
    /// Sums of all instances that are sent in this round.
    round: (Time, PaceReports),
    dropped: DroppedReports,
}

impl Pace {
    /// Records that a stream began after the engine had processed `tokens` prompt tokens in `elapsed`.
    pub fn record_prompt(&mut self, target: PaceTarget, tokens: u64, elapsed: Duration, now: Time) {
        if tokens == 0 {
            return;
        }
        let work = work(tokens, elapsed);
        self.record(target, |evidence| evidence.prompts.add(work), now);
    }

    /// Records events of a stream, and whether the gap before them was longer than the route's target gap.
    pub fn record_events(&mut self, target: PaceTarget, gap: EventGap, is_long: bool, now: Time) {
        let work = work(gap.events, gap.gap);
        let long_gaps = f64::from(u8::from(is_long));
        let add = |evidence: &mut Evidence| {
            evidence.events.add(work);
            evidence.long_gaps += long_gaps;
        };
        self.record(target, add, now);
    }

    fn record(&mut self, target: PaceTarget, add: impl Fn(&mut Evidence), now: Time) {
        let of_target = self.local.entry(target.incarnation).or_default();
        let of_service = self.local_services.entry(target.service).or_default();
        for evidence in [of_target, of_service] {
            *evidence = evidence.aged(now);
            add(evidence);
        }
    }

    /// Returns the speed of a target. As far as too little is known of it, it is that of its service.
    #[must_use]
    pub fn speed(&self, target: PaceTarget, now: Time) -> Speed {
        let of_target = total(&self.local, &self.others, target.incarnation, now);
        let of_service = total(
            &self.local_services,
            &self.other_services,
            target.service,
            now,
        );
        Speed {
            tokens_per_second: of_target.prompts.rate_among(of_service.prompts),
            events_per_second: of_target.events.rate_among(of_service.events),
        }
    }

    /// Returns what this instance reports in its next status: a bounded number of targets, in turn.
    pub fn take_reports(&mut self, now: Time) -> PaceReports {
        let seen = self.local.keys().copied().collect();
        let targets = self.turns.next(&seen);
        let reports = targets
            .into_iter()
            .map(|target| (target, self.local_report(target, now)));
        reports.collect()
    }

    fn local_report(&self, target: ShortHash, now: Time) -> PaceReport {
        let evidence = self.local.get(&target).copied().unwrap_or_default();
        evidence.aged(now).report()
    }

    /// Records the reports in a peer's status.
    pub fn record_peer(&mut self, peer: ShortHash, reports: &PaceReports, now: Time) {
        for (target, report) in reports {
            if self.accept(*target, report.is_plausible_of_one()) {
                let of_peer = self.peers.entry(peer).or_default();
                of_peer.insert(
                    *target,
                    Received {
                        report: *report,
                        at: now,
                    },
                );
            }
        }
    }

    /// Returns the sums that a relay sends to `subscriber`, without that instance's own part: a bounded number of
    /// targets, in turn.
    pub fn sums_for(&mut self, subscriber: ShortHash, now: Time) -> PaceReports {
        if self.round.0 != now {
            self.round = (now, self.next_sums(now));
        }
        let own = self.peers.get(&subscriber);
        let sums = self.round.1.iter().map(|(target, sum)| {
            let mut sum = *sum;
            if let Some(own) = own.and_then(|own| own.get(target)) {
                sum.subtract(&own.aged_report(now));
            }
            (*target, sum)
        });
        sums.collect()
    }

    /// Returns the sums of all instances for the targets of the next round.
    fn next_sums(&mut self, now: Time) -> PaceReports {
        let seen = self.local.keys().chain(self.others.keys());
        let targets = self.sum_turns.next(&seen.copied().collect());
        let sums = targets.into_iter().map(|target| {
            let mut sum = self.local_report(target, now);
            let reported = self
                .peers
                .values()
                .filter_map(|reports| reports.get(&target));
            reported.for_each(|received| sum.add(&received.aged_report(now)));
            (target, sum)
        });
        sums.collect()
    }

    /// Records the sums of all other instances in a relay's update.
    pub fn record_sums(&mut self, sums: &PaceReports, now: Time) {
        self.sums_at = Some(now);
        for (target, sum) in sums {
            if self.accept(*target, sum.is_plausible()) {
                self.sums.insert(
                    *target,
                    Received {
                        report: *sum,
                        at: now,
                    },
                );
            }
        }
    }

    /// Whether a report is used; counts it as dropped if not. Reports on unknown targets are not counted while no
    /// target is registered.
    fn accept(&mut self, target: ShortHash, is_plausible: bool) -> bool {
        if !is_plausible {
            self.dropped.implausible += 1;
            return false;
        }
        let is_known = self.services.contains_key(&target);
        self.dropped.unknown += u64::from(!is_known && !self.services.is_empty());
        is_known
    }

    /// Returns the number of reports dropped since the last call.
    pub fn take_dropped(&mut self) -> DroppedReports {
        std::mem::take(&mut self.dropped)
    }

    fn has_sums(&self, now: Time) -> bool {
        self.sums_at.is_some_and(|at| now.since(at) < RELAY_TTL)
    }

    /// Sets the registered targets, drops what is outdated, and adds up what others have reported.
    pub fn sweep<'a>(&mut self, targets: impl Iterator<Item = &'a Target>, now: Time) {
        let targets = targets.map(PaceTarget::from);
        let services = targets.map(|target| (target.incarnation, target.service));
        self.services = services.collect();
        let services = &self.services;
        self.local.retain(|target, evidence| {
            services.contains_key(target) && !evidence.aged(now).is_negligible()
        });
        self.local_services
            .retain(|_, evidence| !evidence.aged(now).is_negligible());
        let is_current = |target: &ShortHash, received: &mut Received| {
            services.contains_key(target) && now.since(received.at) < REPORT_TTL
        };
        self.sums.retain(is_current);
        self.peers.retain(|_, reports| {
            reports.retain(is_current);
            !reports.is_empty()
        });
        self.add_up(now);
    }

    fn add_up(&mut self, now: Time) {
        self.others.clear();
        self.other_services.clear();
        let has_sums = self.has_sums(now);
        let sums = has_sums.then_some(&self.sums);
        let peers = self.peers.values().filter(|_| !has_sums);
        for (target, received) in sums.into_iter().chain(peers).flatten() {
            let Some(service) = self.services.get(target) else {
                continue;
            };
            let age = now.since(received.at);
            let evidence = Evidence::of(&received.report, age, now);
            self.others.entry(*target).or_default().add(&evidence);
            let of_service = self.other_services.entry(*service).or_default();
            of_service.add(&evidence);
        }
    }
}

/// Returns what this instance and others have seen.
fn total(
    local: &BTreeMap<ShortHash, Evidence>,
    others: &BTreeMap<ShortHash, Evidence>,
    key: ShortHash,
    now: Time,
) -> Evidence {
    let mut total = local.get(&key).copied().unwrap_or_default().aged(now);
    if let Some(others) = others.get(&key) {
        total.add(others);
    }
    total
}

#[expect(clippy::cast_precision_loss, reason = "amounts stay far below 2^52")]
fn work(amount: u64, elapsed: Duration) -> AgedWork {
    let amount = amount as f64;
    let fastest = amount / f64::from(MAX_AMOUNT_PER_MILLI) / 1_000.0;
    AgedWork {
        amount,
        seconds: elapsed.as_secs_f64().max(MIN_SECONDS).max(fastest),
    }
}
