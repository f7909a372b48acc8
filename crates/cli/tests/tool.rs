//! The operators' tool against real instances.

#[path = "../../daemon/tests/support/mod.rs"]
mod support;

use std::path::PathBuf;
use std::process::{Command, Output};

use serde_json::Value;
use support::{Bench, BenchBuilder, TOKEN};

const PROGRAM: &str = env!("CARGO_BIN_EXE_bluebellstage");

/// What a run of the tool gave.
struct Run {
    code: i32,
    out: String,
    err: String,
}

impl Run {
    fn json(&self) -> Value {
        serde_json::from_str(&self.out).unwrap_or_else(|_| panic!("{}{}", self.out, self.err))
    }
}

/// Runs the tool against the first instance.
async fn run(bench: &Bench, args: &[&str]) -> Run {
    let admin = format!("http://{}", bench.daemons[0].admin_address());
    run_against(&admin, TOKEN, args).await
}

async fn run_against(admin: &str, token: &str, args: &[&str]) -> Run {
    let mut command = Command::new(PROGRAM);
    command
        .env("BLUEBELLSTAGE_ADMIN", admin)
        .env("BLUEBELLSTAGE_TOKEN", token)
        .args(args);
    let ended = tokio::task::spawn_blocking(move || command.output());
    let Output {
        status,
        stdout,
        stderr,
    } = ended.await.unwrap().unwrap();
    Run {
        code: status.code().unwrap(),
        out: String::from_utf8(stdout).unwrap(),
        err: String::from_utf8(stderr).unwrap(),
    }
}

/// A file that is removed at the end.
struct Scratch(PathBuf);

impl Scratch {
    fn new(name: &str, text: &str) -> Self {
        let name = format!("bluebellstage-{}-{name}.yaml", std::process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::write(&path, text).unwrap();
        Self(path)
    }

    fn path(&self) -> &str {
        self.0.to_str().unwrap()
    }
}

impl Drop for Scratch {
    fn drop(&mut self) {
        let _best_effort = std::fs::remove_file(&self.0);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_catalogue_is_got_edited_compared_and_applied() {
    let bench = BenchBuilder::instances(3).start().await;
    let got = run(&bench, &["catalogue", "get"]).await;
    assert_eq!(got.code, 0);
    let same = Scratch::new("same", &got.out);
    let nothing = run(&bench, &["catalogue", "diff", same.path()]).await;
    assert_eq!(
        (nothing.code, nothing.out.contains("nothing to change")),
        (0, true)
    );

    let edited = got.out.replace("max_answer: 100\n", "max_answer: 200\n");
    let edited = edited.replace("  - id: filings\n", "  - id: lookups\n");
    let edited = Scratch::new("edited", &edited);
    let diff = run(&bench, &["catalogue", "diff", edited.path()]).await;
    assert_eq!(diff.code, 6);
    insta::assert_snapshot!(diff.out);

    let applied = run(&bench, &["catalogue", "apply", edited.path(), "--json"]).await;
    assert_eq!(applied.code, 0, "{}", applied.err);
    let applied = applied.json();
    assert_eq!(applied["in_force_at"].as_array().unwrap().len(), 3);
    for at in 0..3 {
        assert_eq!(
            bench.status(at).await["catalogue"]["revision"],
            applied["revision"]
        );
    }

    let stale = run(&bench, &["catalogue", "apply", edited.path()]).await;
    assert_eq!(stale.code, 4);
    insta::assert_snapshot!(stale.err);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_key_is_shown_once_works_and_is_withdrawn() {
    let bench = BenchBuilder::instances(1).start().await;
    let issued = run(
        &bench,
        &["key", "issue", "kochi", "--name", "clerk-7", "--json"],
    )
    .await;
    assert_eq!(issued.code, 0, "{}", issued.err);
    let key = issued.json()["key"].as_str().unwrap().to_owned();
    let lookup = || async {
        let url = format!(
            "http://{}/v1/services/filings/x",
            bench.daemons[0].caller_address()
        );
        let answer = bench.http.get(url).bearer_auth(&key).send().await;
        answer.unwrap().status().as_u16()
    };
    assert_eq!(lookup().await, 200);
    let listed = run(&bench, &["key", "list"]).await;
    assert!(listed.out.contains("clerk-7") && !listed.out.contains(&key));
    assert_eq!(run(&bench, &["key", "withdraw", "clerk-7"]).await.code, 0);
    assert_eq!(lookup().await, 401);
    let again = run(&bench, &["key", "withdraw", "clerk-7"]).await;
    assert_eq!(again.code, 4);
    insta::assert_snapshot!(again.err);
}

#[tokio::test(flavor = "multi_thread")]
async fn status_dump_and_in_doubt_answer_for_people_and_programs() {
    let bench = BenchBuilder::instances(2).start().await;
    let status = run(&bench, &["status", "--json"]).await;
    assert_eq!(status.json()["map"]["members"].as_array().unwrap().len(), 2);
    assert!(status.json()["groups"].is_array());
    assert!(run(&bench, &["status"]).await.out.contains("has standing"));
    assert!(run(&bench, &["dump", "--json"]).await.json()["core"].is_object());
    let doubt = run(&bench, &["request", "in-doubt", "--json"]).await;
    assert_eq!(doubt.json(), Value::Array(vec![]));
    let unknown = run(&bench, &["request", "show", "ff"]).await;
    assert_eq!(unknown.code, 4);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_drain_waits_until_the_instance_has_stopped() {
    let mut bench = BenchBuilder::instances(2).start().await;
    let stopping = bench.daemons.remove(1);
    let admin = format!("http://{}", stopping.admin_address());
    let waiting = tokio::spawn(stopping.wait());
    let drained = run_against(&admin, TOKEN, &["drain"]).await;
    assert_eq!(drained.code, 0, "{}", drained.err);
    assert!(drained.out.ends_with("i2 has stopped\n"), "{}", drained.out);
    waiting.await.unwrap();
}

#[tokio::test(flavor = "multi_thread")]
async fn each_failure_has_its_exit_code_and_says_what_to_do_next() {
    let bench = BenchBuilder::instances(1).start().await;
    let admin = format!("http://{}", bench.daemons[0].admin_address());
    let broken = Scratch::new("broken", "workspaces: 7\n");
    let orphan = Scratch::new(
        "orphan",
        "adapters: [{id: a, owner: nobody, base_model: base, current: 1, max_answer: 9}]\n",
    );
    let runs = [
        run_against(&admin, "guessed", &["status"]).await,
        run_against("http://127.0.0.1:1", TOKEN, &["status"]).await,
        run(&bench, &["catalogue", "apply", "/no/such/file"]).await,
        run(&bench, &["catalogue", "apply", broken.path()]).await,
        run(&bench, &["catalogue", "apply", orphan.path()]).await,
        run(&bench, &["key", "issue", "nobody", "--name", "k"]).await,
    ];
    let scratch = std::env::temp_dir().display().to_string();
    let shown = runs.iter().map(|run| {
        let text = run
            .err
            .replace(&admin, "ADMIN")
            .replace(&scratch, "SCRATCH");
        format!("{}: {text}", run.code)
    });
    let shown = shown
        .collect::<String>()
        .replace(&std::process::id().to_string(), "PID");
    insta::assert_snapshot!(shown);
}

#[test]
fn the_help_lists_the_exit_codes() {
    let help = Command::new(PROGRAM).arg("--help").output().unwrap();
    let help = String::from_utf8(help.stdout).unwrap();
    for code in ["0 done", "1 ", "3 ", "4 ", "5 ", "6 "] {
        assert!(help.contains(&format!("\n  {code}")), "{help}");
    }
}
