//! The load tool and its scenarios.

use std::path::{Path, PathBuf};

use bluebellstage_standin::fleet::DaemonProgram;
use bluebellstage_standin::load::{self, Programs, Scenario};

fn scenarios() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("scenarios")
}

fn small() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/small.yaml")
}

#[test]
fn every_scenario_can_be_run() {
    let files = std::fs::read_dir(scenarios()).expect("the scenarios");
    let mut names = Vec::new();
    for file in files {
        let path = file.expect("a file").path();
        let scenario = Scenario::read(&path).unwrap_or_else(|err| panic!("{err:?}"));
        let stem = path.file_stem().and_then(|stem| stem.to_str());
        assert_eq!(
            stem,
            Some(&*scenario.name),
            "a scenario is named as its file"
        );
        names.push(scenario.name);
    }
    names.sort();
    insta::assert_yaml_snapshot!(names, @r"
    - gerplan-base
    - gerplan-engine-restart
    - gerplan-instance-killed
    - gerplan-platform-away
    - gerplan-shift
    - gerplan-slow-store
    - gerplan-steady
    - gerplan-surge
    - periyar-base
    - periyar-engine-restart
    - periyar-instance-killed
    - periyar-platform-away
    - periyar-shift
    - periyar-slow-store
    - periyar-steady
    - periyar-surge
    ");
}

#[test]
fn scenario_with_a_fault_of_nobody_is_refused() {
    let dir = std::env::temp_dir().join(format!("bluebellstage-scenario-{}", std::process::id()));
    std::fs::create_dir_all(&dir).expect("a folder");
    let path = dir.join("broken.yaml");
    let base = small();
    let text = format!(
        "base: {}\nfaults: [{{at: 1, what: {{kill_instance: 9}}}}]\n",
        base.display()
    );
    std::fs::write(&path, text).expect("a file");
    let refused = Scenario::read(&path).expect_err("there is no instance 9");
    assert!(
        format!("{refused:?}").contains("there is no instance 9"),
        "{refused:?}"
    );
    drop(std::fs::remove_dir_all(dir));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn load_run_reports_on_every_request() {
    let program = PathBuf::from(env!("CARGO_BIN_EXE_bluebellstage-standin"));
    let programs = Programs {
        standin: program.clone(),
        daemon: DaemonProgram {
            path: program,
            args: vec!["instance".into()],
        },
    };
    let scenario = Scenario::read(&small()).unwrap_or_else(|err| panic!("{err:?}"));
    let dir = std::env::temp_dir().join(format!("bluebellstage-load-{}", std::process::id()));
    let report = load::run(&scenario, 7, &programs, &dir).await;
    let report = report.unwrap_or_else(|err| panic!("{err:?}"));
    let [one] = &*report.variants else {
        panic!("one variant: {report:?}");
    };
    assert_eq!(one.requests.answered, one.requests.total, "{one:?}");
    assert!(one.requests.total > 0);
    assert_eq!(one.filings.run_once, one.filings.wanted);
    let wanted: usize = one.series.iter().map(|second| second.wanted).sum();
    assert_eq!(wanted, one.requests.total);
    insta::assert_yaml_snapshot!(one.faults, @r"
    filings_run_twice: 0
    wrong_adapter: 0
    wrong_text: 0
    false_not_run: 0
    evicted_in_use: 0
    keys_seen: 0
    over_limit: 0
    ");
    let page = std::fs::read_to_string(dir.join("report.html")).expect("a page");
    assert!(
        page.contains("<svg") && !page.contains("http"),
        "the page needs nothing else"
    );
    drop(std::fs::remove_dir_all(dir));
}
