//! What all stand-ins saw, and what must always hold of it.

use std::collections::{BTreeMap, HashSet};

use bluebellstage_standin::SeenRequest;
use bluebellstage_standin::caller::{Attempt, Outcome, Trace, Work};
use bluebellstage_standin::engine::EngineLog;
use bluebellstage_standin::fleet::{Control, Fleet};
use bluebellstage_standin::platform::PlatformLog;
use bluebellstage_standin::service::ServiceLog;
use bluebellstage_standin::store::StoreLog;

use super::content::{KEY, OTHER_KEY};

/// A piece of work with all that became of it.
#[derive(Clone, Debug)]
pub struct Sent {
    pub work: Work,
    pub trace: Trace,
}

impl Sent {
    pub fn last(&self) -> &Attempt {
        self.trace.last().expect("at least one attempt")
    }

    pub fn refusals(&self) -> impl Iterator<Item = &str> {
        self.trace
            .attempts
            .iter()
            .filter_map(|attempt| match &attempt.outcome {
                Outcome::Refused(refused) => Some(&*refused.kind),
                _ => None,
            })
    }
}

/// What all stand-ins saw.
pub struct Evidence {
    seen: Vec<SeenRequest>,
    ran: HashSet<Box<str>>,
    filings: BTreeMap<Box<str>, usize>,
    evicted_in_use: u64,
}

impl Evidence {
    pub async fn gather(fleet: &Fleet) -> Self {
        let mut evidence = Self {
            seen: Vec::new(),
            ran: HashSet::new(),
            filings: BTreeMap::new(),
            evicted_in_use: 0,
        };
        for engine in &fleet.engines {
            let log: EngineLog = read(engine).await;
            let started = log.runs.into_iter().filter(|run| run.started.is_some());
            evidence.ran.extend(started.map(|run| run.request_id));
            evidence.evicted_in_use += log.violations;
            evidence.seen.extend(log.seen);
        }
        for service in &fleet.services {
            let log: ServiceLog = read(service).await;
            for run in log.runs {
                evidence.ran.extend(run.request_id);
                if let Some(name) = run.idempotency_key {
                    *evidence.filings.entry(name).or_default() += 1;
                }
            }
            evidence.seen.extend(log.seen);
        }
        evidence
            .seen
            .extend(read::<StoreLog>(&fleet.store).await.seen);
        evidence
            .seen
            .extend(read::<PlatformLog>(&fleet.platform).await.seen);
        evidence
    }

    pub fn check(&self, traces: &[Sent]) {
        for seen in &self.seen {
            for key in [KEY, OTHER_KEY] {
                assert!(!seen.contains(key), "a key reached a stand-in: {seen:?}");
            }
        }
        assert_eq!(self.evicted_in_use, 0, "adapters evicted while in use");
        let twice: Vec<_> = self
            .filings
            .iter()
            .filter(|(_, count)| **count > 1)
            .collect();
        assert!(twice.is_empty(), "filings run more than once: {twice:?}");
        for sent in traces {
            for attempt in &sent.trace.attempts {
                self.check_claim(sent, attempt);
            }
            check_answer(sent);
        }
    }

    /// A refusal that says "not run" must be true of its own attempt.
    fn check_claim(&self, sent: &Sent, attempt: &Attempt) {
        let Outcome::Refused(refused) = &attempt.outcome else {
            return;
        };
        let ran = attempt
            .request_id
            .as_ref()
            .is_some_and(|id| self.ran.contains(id));
        assert!(
            &*refused.ran != "no" || !ran,
            "refused as not run, but it ran: {sent:?}"
        );
    }
}

async fn read<T: serde::de::DeserializeOwned>(control: &Control) -> T {
    control.heal().await.expect("the stand-in answers");
    control.log().await.expect("a log")
}

/// An answer must be the whole answer to its own request, from what it asked for.
fn check_answer(sent: &Sent) {
    let attempt = sent.last();
    if attempt.outcome != Outcome::Answered {
        return;
    }
    match &sent.work {
        Work::Draft(draft) => {
            let adapter = format!("{}@1", draft.model);
            assert_eq!(attempt.ran.as_deref(), Some(&*adapter), "{sent:?}");
            assert_eq!(attempt.text, draft.answer(&adapter).text(), "{sent:?}");
            assert!(!attempt.mixed, "{sent:?}");
        }
        Work::Call(call) => {
            assert!(
                attempt.text.contains(&format!("/{}\"", call.path)),
                "{sent:?}"
            );
            if let Some(name) = &call.idempotency_key {
                assert!(attempt.text.contains(&format!("\"{name}\"")), "{sent:?}");
            }
        }
    }
}
