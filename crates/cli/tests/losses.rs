//! `losses` on logs of instances.

use std::io::Write;
use std::process::{Command, Stdio};

/// Lines of instances, one of another program, and one that was cut.
const LOG: &str = r#"2026-06-04T14:44:08.100Z DEBUG code=BS3406 request=r1 route=checks status=200 workspace=w1 charge=1 sends=1 target=e1 pause_ms=0 load_ms=0 target_ms=120 aim_ms=800 ms=125 msg="request answered"
2026-06-04T14:44:08.200Z DEBUG code=BS3406 request=r2 route=checks status=200 workspace=w1 charge=1 sends=1 target=e1 pause_ms=0 load_ms=600 target_ms=300 aim_ms=800 ms=905 msg="request answered"
2026-06-04T14:44:08.300Z DEBUG code=BS3406 request=r3 route=checks status=200 workspace=w2 charge=1 sends=1 target=e2 pause_ms=0 load_ms=0 target_ms=1900 aim_ms=800 ms=1905 msg="request answered"
2026-06-04T14:44:09.100Z INFO code=BS3401 request=r4 reason=over_quota workspace=w1 charge=3046 left=-3098 rate=71467 retry_after_ms=244 msg="request refused"
2026-06-04T14:44:09.200Z INFO code=BS3401 request=r5 route=checks status=503 reason="its adapter could not be loaded in time" sends=0 config=6 ms=680 msg="request refused"
2026-06-04T14:44:09.300Z INFO code=BS3401 request=r6 route=checks status=503 reason="engines would begin it too late: try again" sends=0 config=6 ms=1 msg="request refused"
2026-06-04T14:44:09.400Z WARN code=BS3405 request=r3 target=e2 cause="the target fell silent" last_event=9 msg="stream broken off"
2026-06-04T14:44:09.500Z WARN code=BS3007 count=12 msg="log events left out"
another program speaks
2026-06-04T14:44:09.600Z DEBUG code=BS3406 request=r7 route=checks sta"#;

fn losses(args: &[&str]) -> String {
    let mut child = Command::new(env!("CARGO_BIN_EXE_bluebellstage"))
        .arg("losses")
        .args(args)
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    let mut stdin = child.stdin.take().unwrap();
    let bytes = [LOG.as_bytes(), b"\n\xff\xfe\n"].concat();
    // A command line that is refused ends before it reads, and then nobody takes these.
    let _taken_or_refused = stdin.write_all(&bytes);
    drop(stdin);
    let ended = child.wait_with_output().unwrap();
    let text = [ended.stdout, ended.stderr].concat();
    String::from_utf8(text).unwrap()
}

#[test]
fn each_request_is_counted_by_what_took_most_of_its_time() {
    insta::assert_snapshot!(losses(&[]));
}

#[test]
fn causes_are_told_by_second_and_target() {
    insta::assert_snapshot!(losses(&["--by", "second"]));
    insta::assert_snapshot!(losses(&["--by", "target"]));
}

#[test]
fn causes_are_told_by_instance() {
    let log = std::env::temp_dir().join(format!("instance-1-{}.log", std::process::id()));
    std::fs::write(&log, LOG).unwrap();
    let told = losses(&["--by", "instance", log.to_str().unwrap()]);
    std::fs::remove_file(&log).unwrap();
    insta::assert_snapshot!(told.replace(log.to_str().unwrap(), "instance-1.log"));
}

#[test]
fn losses_are_told_as_json() {
    insta::assert_snapshot!(losses(&["--json"]));
}

#[test]
fn an_unknown_group_is_an_error_with_a_remedy() {
    insta::assert_snapshot!(losses(&["--by", "moon"]));
}
