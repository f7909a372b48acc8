//! The demo's steps.

use std::collections::BTreeSet;
use std::io::Write;
use std::sync::Arc;
use std::time::Duration;

use bluebellstage_core::catalogue::{
    AdapterEntry, Change, KeyEntry, ServiceEntry, WorkClass, WorkspaceEntry,
};
use bluebellstage_core::{
    AdapterId, AdapterVersion, BaseModel, KeyDigest, KeyId, Rate, ServiceId, Tokens, WorkspaceId,
};
use eyre::{bail, ensure};

use super::Deployment;
use crate::caller::{Attempt, Caller, Draft, Outcome, ServiceCall, Trace, Work};

/// The key that the demo's caller comes with.
const KEY: &str = "demo-key-of-the-clause-counter";

/// How long the demo's caller goes on trying.
const PATIENCE: Duration = Duration::from_secs(20);

/// Longest time in which a withdrawn key may go on working.
const WITHDRAWAL_LIMIT: Duration = Duration::from_secs(3);

/// Time between two looks at a withdrawn key.
const LOOK_INTERVAL: Duration = Duration::from_millis(10);

/// Tokens of the answer that is under way while an instance stops: some two seconds.
const LONG_ANSWER: usize = 120;

pub(super) struct Demo<'a> {
    deployment: Deployment,
    caller: Arc<Caller>,
    out: &'a mut (dyn Write + Send),
    step: u32,
}

impl<'a> Demo<'a> {
    pub(super) fn new(
        deployment: Deployment,
        out: &'a mut (dyn Write + Send),
    ) -> eyre::Result<Self> {
        let addresses = deployment.instances.iter().map(|one| one.caller_address);
        Ok(Self {
            caller: Arc::new(Caller::new(addresses.collect(), 0)?),
            deployment,
            out,
            step: 0,
        })
    }

    pub(super) async fn run(&mut self) -> eyre::Result<()> {
        self.say("Three instances, two engines, a court service, a weight store and the platform run in this process")?;
        self.write_catalogue().await?;
        self.draft().await?;
        self.read().await?;
        self.file().await?;
        self.stop_gracefully().await?;
        self.withdraw().await?;
        self.search_for_the_key()?;
        self.say("Done: every step gave what it says")
    }

    pub(super) async fn end(self) {
        self.deployment.end().await;
    }

    fn say(&mut self, what: &str) -> eyre::Result<()> {
        self.step += 1;
        writeln!(self.out, "{:>2}. {what}", self.step)?;
        self.out.flush()?;
        Ok(())
    }

    async fn write_catalogue(&mut self) -> eyre::Result<()> {
        let revision = self.deployment.apply(0, "demo", &catalogue()?).await?;
        self.say(&format!(
            "An operator wrote a workspace, a key, an adapter and a service through one instance: \
             catalogue revision {revision} is in force on all three"
        ))
    }

    async fn draft(&mut self) -> eyre::Result<()> {
        let draft = draft("A plan for the school holidays.", 12);
        let trace = self.ask(&Work::Draft(draft.clone())).await;
        let answer = check_draft(&trace, &draft)?;
        self.say(&format!(
            "A caller asked `/v1/entry` which instance to use, connected, and a draft streamed from {}: {}…",
            answer.ran.as_deref().unwrap_or_default(),
            answer.text.split_whitespace().take(5).collect::<Vec<_>>().join(" ")
        ))?;
        let loads: u64 = self
            .deployment
            .engines
            .iter()
            .map(|engine| engine.log().loads)
            .sum();
        ensure!(loads == 1, "one engine loads the adapter, once");
        self.say(
            "The adapter was loaded into a slot of one engine for it, through the weight store",
        )
    }

    async fn read(&mut self) -> eyre::Result<()> {
        let call = ServiceCall {
            service: "court".into(),
            path: "cases/7".into(),
            idempotency_key: None,
        };
        let trace = self.ask(&Work::Call(call)).await;
        ensure!(trace.is_answered(), "a case file is answered: {trace:?}");
        self.say("A case file was read from the court service")
    }

    async fn file(&mut self) -> eyre::Result<()> {
        let work = Work::Call(ServiceCall {
            service: "court".into(),
            path: "filings".into(),
            idempotency_key: Some("filing-2026-117".into()),
        });
        let first = self.ask(&work).await;
        let again = self.ask(&work).await;
        let (Some(first), Some(again)) = (first.last(), again.last()) else {
            bail!("a filing is answered");
        };
        let answered = first.outcome == Outcome::Answered && again.outcome == Outcome::Answered;
        ensure!(
            answered,
            "a filing and its repeat are answered: {first:?} {again:?}"
        );
        ensure!(
            first.text == again.text && again.replayed,
            "a repeat gets the first answer"
        );
        let runs = self.deployment.service.log().runs;
        let filed = runs.iter().filter(|run| run.idempotency_key.is_some());
        ensure!(filed.count() == 1, "the filing runs once");
        self.say("A filing with an `Idempotency-Key` ran once; its repeat, sent to another instance, got the first answer")
    }

    async fn stop_gracefully(&mut self) -> eyre::Result<()> {
        let name = self.deployment.instances[2].name.clone();
        let address = self.deployment.instances[2].caller_address;
        let draft = draft("A plan for the visiting days.", LONG_ANSWER);
        let work = Work::Draft(draft.clone());
        let before = self.runs();
        let caller = Arc::clone(&self.caller);
        let answer = tokio::spawn(async move { caller.attempt_at(address, KEY, &work).await });
        // The stop begins when the answer is under way.
        while self.runs() == before {
            ensure!(
                !answer.is_finished(),
                "the long answer ended before the stop"
            );
            tokio::time::sleep(LOOK_INTERVAL).await;
        }
        self.deployment.stop_instance(2).await;
        let attempt = answer.await?;
        check_attempt(&attempt, &draft)?;
        let tokens = attempt.text.split_whitespace().count();
        self.say(&format!(
            "{name} was stopped as planned while it streamed: all {tokens} tokens arrived, then it ended"
        ))?;
        self.go_on().await
    }

    async fn go_on(&mut self) -> eyre::Result<()> {
        let trace = self
            .ask(&Work::Draft(draft("A plan for the winter.", 8)))
            .await;
        ensure!(
            trace.is_answered(),
            "callers go on at the other two: {trace:?}"
        );
        self.say("Callers went on at the other two")
    }

    fn runs(&self) -> usize {
        let engines = self.deployment.engines.iter();
        engines.map(|engine| engine.log().runs.len()).sum()
    }

    async fn withdraw(&mut self) -> eyre::Result<()> {
        let change = Change::WithdrawKey(KeyId::try_from("counter")?);
        let begun = std::time::Instant::now();
        let admin = self.deployment.instances[0].admin.clone();
        admin.apply("demo-withdrawal", &[change]).await?;
        let work = Work::Draft(draft("One more plan.", 4));
        for instance in &self.deployment.instances {
            loop {
                let attempt = self
                    .caller
                    .attempt_at(instance.caller_address, KEY, &work)
                    .await;
                let refused = |refused: &crate::caller::Refused| &*refused.kind == "key_refused";
                if matches!(&attempt.outcome, Outcome::Refused(one) if refused(one)) {
                    break;
                }
                ensure!(
                    begun.elapsed() < WITHDRAWAL_LIMIT,
                    "the withdrawn key works on {} after {WITHDRAWAL_LIMIT:?}: {attempt:?}",
                    instance.name
                );
                tokio::time::sleep(LOOK_INTERVAL).await;
            }
        }
        self.say("The key was withdrawn through one instance: both refuse it as `key_refused`, with `ran: no`")
    }

    fn search_for_the_key(&mut self) -> eyre::Result<()> {
        let mut seen = self.deployment.platform.log().seen;
        seen.extend(self.deployment.store.log().seen);
        seen.extend(self.deployment.service.log().seen);
        for engine in &self.deployment.engines {
            seen.extend(engine.log().seen);
        }
        let holds = seen.iter().filter(|request| request.contains(KEY)).count();
        ensure!(
            holds == 0,
            "{holds} requests to targets or the platform held the key"
        );
        self.say("No request that reached a target, the weight store or the platform held the key")
    }

    async fn ask(&self, work: &Work) -> Trace {
        self.caller.run(KEY, work, PATIENCE).await
    }
}

fn draft(prompt: &str, max_tokens: usize) -> Draft {
    Draft {
        model: "gerplan-clause".into(),
        prompt: prompt.into(),
        max_tokens,
    }
}

fn check_draft<'a>(trace: &'a Trace, draft: &Draft) -> eyre::Result<&'a Attempt> {
    let Some(last) = trace.last() else {
        bail!("nobody was asked");
    };
    check_attempt(last, draft)?;
    Ok(last)
}

fn check_attempt(attempt: &Attempt, draft: &Draft) -> eyre::Result<()> {
    let adapter = "gerplan-clause@1";
    let whole = draft.answer(adapter).text();
    ensure!(
        attempt.outcome == Outcome::Answered,
        "a draft is answered: {attempt:?}"
    );
    ensure!(
        attempt.ran.as_deref() == Some(adapter),
        "the right adapter answers: {attempt:?}"
    );
    ensure!(
        attempt.text == whole,
        "the whole answer arrives: {attempt:?}"
    );
    Ok(())
}

fn catalogue() -> eyre::Result<Vec<Change>> {
    let workspace = WorkspaceId::try_from("ulaanbaatar")?;
    Ok(vec![
        Change::PutWorkspace(WorkspaceEntry {
            id: workspace.clone(),
            rate: Rate(1_000),
            burst: Tokens(10_000),
        }),
        Change::IssueKey(KeyEntry {
            id: KeyId::try_from("counter")?,
            workspace: workspace.clone(),
            digest: KeyDigest::of(KEY),
        }),
        Change::PutAdapter(AdapterEntry {
            id: AdapterId::try_from("gerplan-clause")?,
            owner: workspace.clone(),
            base_model: BaseModel::try_from("base")?,
            current: AdapterVersion(1),
            also: BTreeSet::new(),
            class: WorkClass::Urgent,
            max_answer: Tokens(200),
        }),
        Change::PutService(ServiceEntry {
            id: ServiceId::try_from("court")?,
            workspaces: BTreeSet::from([workspace]),
            charge: Tokens(1),
        }),
    ])
}
