//! `explain` on logs of instances.

use std::io::Write;
use std::process::{Command, Stdio};

/// Lines of a run on the users' platform with a hot workspace, slow servers and crashing engines.
const LOG: &str = r#"2026-06-04T14:44:08.696Z INFO code=BS3401 request=r1 reason=over_quota workspace=jelo642 charge=3046 left=-3098 rate=71467 retry_after_ms=244 msg="request refused"
2026-06-04T14:44:13.473Z INFO code=BS3401 request=r2 route=r-n53h8h5 status=502 reason="the target gave no whole answer" sends=1 config=6 ms=1080 msg="request refused"
2026-06-04T14:44:13.472Z INFO code=BS3403 request=r2 target=i-a306a9acab cause=Silent runs=1 adapter="" msg="attempt failed"
2026-06-04T14:44:12.272Z WARN code=BS3405 request=r3 target=i-1 cause="the target fell silent" last_event=9 msg="stream broken off"
2026-06-04T14:44:23.000Z INFO code=BS3415 request=r7 target=i-1 cause="the target fell silent" silent_ms=1402 msg="run is silent: another target is looked for while it goes on"
2026-06-04T14:44:23.600Z INFO code=BS3416 request=r7 search="all targets are full" search_ms=598 msg="nothing replaces the silent run: it is awaited"
2026-06-04T14:44:30.000Z WARN code=BS3405 request=r7 target=i-1 software=v1 cause="the time of the request is over" last_event=9 silent_ms=8402 search="no further attempt is allowed" search_ms=0 msg="stream broken off"
2026-06-04T14:44:12.000Z INFO code=BS3101 version=7 msg="configuration in force"
2026-06-04T14:44:15.000Z INFO code=BS3401 request=r5 route=r-1 status=502 reason="targets ended each time this request ran: change it" sends=0 config=7 ms=1 fingerprint=00112233445566778899aabbccddeeff msg="request refused"
2026-06-04T14:44:16.000Z INFO code=BS3401 request=r6 route=r-1 status=502 reason="targets ended each time they ran a part of its prompt: leave that part out" sends=0 config=7 ms=1 part=5c1e07a2 msg="request refused"
2026-06-04T14:44:20.000Z DEBUG code=BS3406 request=s1 route=r-1 status=200 workspace=north charge=40 ms=30 software=v1 msg="request answered"
2026-06-04T14:44:20.900Z INFO code=BS3404 request=s1 target=i-1 software=v1 cause="the connection to the target broke" last_event=4 next=i-2 next_software=v1 msg="stream resumed at another target"
2026-06-04T14:44:21.400Z DEBUG code=BS3406 request=s2 route=r-1 status=200 workspace=north charge=40 ms=31 software=v1 resumes=s1 resume_after=9 msg="request answered"
2026-06-04T14:44:22.400Z DEBUG code=BS3406 request=s3 route=r-1 status=200 workspace=north charge=40 ms=32 software=v2 resumes=s1 resume_after=12 msg="request answered"
"#;

fn explain(request: &str) -> (bool, String) {
    let mut child = Command::new(env!("CARGO_BIN_EXE_bluebellstage"))
        .args(["explain", request])
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    let mut stdin = child.stdin.take().unwrap();
    stdin.write_all(LOG.as_bytes()).unwrap();
    drop(stdin);
    let ended = child.wait_with_output().unwrap();
    let text = [ended.stdout, ended.stderr].concat();
    (ended.status.success(), String::from_utf8(text).unwrap())
}

#[test]
fn a_refusal_by_quota_names_workspace_and_charge() {
    insta::assert_snapshot!(explain("r1").1, @"2026-06-04T14:44:08.696Z stdin: refused by the quota of jelo642: it counts as 3046, -3098 were left, 71467 come in a second");
}

#[test]
fn a_filing_answered_502_tells_its_attempt_first() {
    insta::assert_snapshot!(explain("r2").1, @r"
    2026-06-04T14:44:13.472Z stdin: the attempt at i-a306a9acab failed (Silent); 1 so far may have run
    2026-06-04T14:44:13.473Z stdin: answered 502 after 1080 ms and 1 sends: the target gave no whole answer
    ");
}

#[test]
fn a_broken_stream_tells_how_far_it_came() {
    insta::assert_snapshot!(explain("r3").1, @"2026-06-04T14:44:12.272Z stdin: its stream from i-1 broke (the target fell silent) after event 9 and can't go on");
}

#[test]
fn a_silent_run_tells_what_was_looked_for_besides() {
    insta::assert_snapshot!(explain("r7").1, @r"
    2026-06-04T14:44:23.000Z stdin: nothing came from i-1 for 1402 ms (the target fell silent): another target is looked for while it is awaited
    2026-06-04T14:44:23.600Z stdin: no other target took it in 598 ms (all targets are full): the silent one is awaited
    2026-06-04T14:44:30.000Z stdin: its stream from i-1 broke (the time of the request is over) after event 9 and can't go on: no further attempt is allowed
    ");
}

/// Guards against a stream whose story ends with the attempt that is asked for.
#[test]
fn a_stream_is_told_over_all_attempts_of_its_caller() {
    let whole = explain("s1").1;
    insta::assert_snapshot!(whole, @r"
    2026-06-04T14:44:20.000Z stdin: s1: a target's answer with status 200 went to the caller after 30 ms; north charged 40; software v1
    2026-06-04T14:44:20.900Z stdin: s1: its stream from i-1 (software v1) broke (the connection to the target broke) and goes on at i-2 (software v1) after event 4
    2026-06-04T14:44:21.400Z stdin: s2: a target's answer with status 200 went to the caller after 31 ms; north charged 40; software v1; it continues the stream of s1 after event 9
    2026-06-04T14:44:22.400Z stdin: s3: a target's answer with status 200 went to the caller after 32 ms; north charged 40; software v2; it continues the stream of s1 after event 12
    ");
    assert_eq!(explain("s2").1, whole);
    assert_eq!(explain("s3").1, whole);
}

#[test]
fn a_quarantined_request_is_told_with_its_fingerprint() {
    insta::assert_snapshot!(explain("r5").1, @"2026-06-04T14:44:15.000Z stdin: answered 502 after 1 ms and 0 sends: quarantined as 00112233445566778899aabbccddeeff, targets end under it (see BS3109)");
}

#[test]
fn a_request_with_a_quarantined_part_is_told_with_the_part() {
    insta::assert_snapshot!(explain("r6").1, @"2026-06-04T14:44:16.000Z stdin: answered 502 after 1 ms and 0 sends: part-5c1e07a2 of its prompt is quarantined, targets end under it (see BS3123)");
}

#[test]
fn a_request_that_no_line_names_is_an_error_with_a_remedy() {
    let (succeeded, text) = explain("r9");
    assert!(!succeeded);
    assert!(text.contains("name the logs of all instances"), "{text}");
}
