//! `losses` on logs of instances.

use std::io::Write;
use std::process::{Child, Command, Stdio};

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

/// Streams that ended: in time, with a gap at the target, with a held event, late from the first event on, of a route
/// without a target gap, and one that was broken off. The lines of one come in any order, as of several logs.
const STREAMS: &str = r#"2026-06-04T14:44:08.100Z DEBUG code=BS3406 request=r1 route=chat status=200 workspace=w1 target=e1 target_ms=120 aim_ms=800 ms=125 msg="request answered"
2026-06-04T14:44:09.100Z DEBUG code=BS3414 request=r1 route=chat workspace=w1 target=e1 aim_ms=800 gap_ms=300 held_ms=12 first_ms=126 gap_aim_ms=300 msg="stream ended"
2026-06-04T14:44:09.200Z DEBUG code=BS3414 request=r2 route=chat workspace=w1 target=e2 aim_ms=800 gap_ms=412 held_ms=350 first_ms=126 gap_aim_ms=300 msg="stream ended"
2026-06-04T14:44:08.200Z DEBUG code=BS3406 request=r2 route=chat status=200 workspace=w1 target=e1 target_ms=120 aim_ms=800 ms=125 msg="request answered"
2026-06-04T14:44:09.300Z DEBUG code=BS3414 request=r3 route=recap workspace=w2 target=e2 aim_ms=800 gap_ms=20 held_ms=350 first_ms=126 gap_aim_ms=300 msg="stream ended"
2026-06-04T14:44:08.400Z DEBUG code=BS3406 request=r4 route=chat status=200 workspace=w1 target=e1 load_ms=700 target_ms=120 aim_ms=800 ms=825 msg="request answered"
2026-06-04T14:44:09.400Z DEBUG code=BS3414 request=r4 route=chat workspace=w1 target=e1 aim_ms=800 gap_ms=412 held_ms=0 first_ms=826 gap_aim_ms=300 msg="stream ended"
2026-06-04T14:44:09.500Z DEBUG code=BS3414 request=r5 route=once workspace=w2 target=e1 aim_ms=800 gap_ms=9000 held_ms=0 first_ms=126 msg="stream ended"
2026-06-04T14:44:09.600Z DEBUG code=BS3414 request=r6 route=chat workspace=w1 target=e1 aim_ms=800 gap_ms=1400 held_ms=0 first_ms=126 gap_aim_ms=300 msg="stream ended"
2026-06-04T14:44:09.600Z WARN code=BS3405 request=r6 target=e1 cause="the target fell silent" last_event=9 msg="stream broken off"
2026-06-04T14:44:09.700Z DEBUG code=BS3414 request=r7 route=chat workspace=w1 target=e1 aim_ms=800 gap_ms=0 held_ms=0 gap_aim_ms=300 msg="stream ended""#;

fn losses(args: &[&str]) -> String {
    losses_of(LOG, args)
}

fn start(command: &str, args: &[&str]) -> Child {
    Command::new(env!("CARGO_BIN_EXE_bluebellstage"))
        .arg(command)
        .args(args)
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap()
}

fn losses_of(log: &str, args: &[&str]) -> String {
    let mut child = start("losses", args);
    let mut stdin = child.stdin.take().unwrap();
    let bytes = [log.as_bytes(), b"\n\xff\xfe\n"].concat();
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

#[test]
fn streams_with_long_gaps_or_held_events_are_late() {
    let by = |group| losses_of(STREAMS, &["--by", group]);
    let told = ["cause", "target", "route", "workspace", "instance"].map(by);
    insta::assert_snapshot!(told.join("\n"));
}

/// Guards against a last silence that is left out of a stream's gaps.
#[test]
fn a_stream_that_its_caller_left_in_a_silence_is_late() {
    let log = r#"2026-06-04T14:44:08.100Z DEBUG code=BS3406 request=r1 route=chat status=200 workspace=w1 target=e1 target_ms=120 aim_ms=800 ms=125 msg="request answered"
2026-06-04T14:44:09.100Z DEBUG code=BS3414 request=r1 route=chat workspace=w1 target=e1 aim_ms=800 gap_ms=30 held_ms=12 silent_ms=2004 first_ms=126 gap_aim_ms=300 msg="stream ended""#;
    insta::assert_snapshot!(losses_of(log, &[]), @r"
    all: 1 requests
             1  100.0 %  late: paused at the target
    1 lines were no events; instances left 0 events out
    ");
}

/// Guards against a panic when the reader, such as `head`, has left.
#[test]
fn a_closed_pipe_ends_commands_quietly() {
    let commands: [(&str, &[&str]); 4] = [
        ("losses", &[]),
        ("losses", &["--json"]),
        ("explain", &["r1"]),
        ("--help", &[]),
    ];
    for (command, args) in commands {
        let mut child = start(command, args);
        drop(child.stdout.take());
        let mut stdin = child.stdin.take().unwrap();
        // Help reads nothing.
        let _read_or_not = stdin.write_all(LOG.as_bytes());
        drop(stdin);
        let ended = child.wait_with_output().unwrap();
        assert!(ended.status.success(), "{command}: {ended:?}");
        assert!(ended.stderr.is_empty(), "{command}: {ended:?}");
    }
}
