//! The settings file: what is refused, how it is said, and that the docs list what there is.

use bluebellstage_daemon::Settings;
use bluebellstage_daemon::settings::{NUMBERS, TEXTS};

const WHOLE: &str = "\
instance: kochi-1
failure_domain: kochi-a
caller_address: 10.0.0.5:8080
peer_address: 10.0.0.5:8081
admin_address: 10.0.0.5:8082
admin_tokens: [9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08]
platform:
  url: http://10.0.0.1:8001
";

fn errors(text: &str) -> String {
    match Settings::parse("settings.yaml", text) {
        Ok(_) => "no problems".into(),
        Err(error) => error.to_string(),
    }
}

/// The whole file with one line changed.
fn with(from: &str, to: &str) -> String {
    assert!(WHOLE.contains(from));
    errors(&WHOLE.replace(from, to))
}

#[test]
fn the_shortest_whole_file_has_no_problems() {
    assert_eq!(errors(WHOLE), "no problems");
}

#[test]
fn an_empty_file_names_all_that_is_missing() {
    insta::assert_snapshot!(errors("{}"));
}

#[test]
fn each_wrong_value_is_named_with_line_key_and_remedy() {
    let cases = [
        with("failure_domain: kochi-a\n", ""),
        with("instance: kochi-1", "instance: kochi 1"),
        with("10.0.0.5:8080", "0.0.0.0:8080"),
        with("10.0.0.5:8080", "entry.kochi:8080"),
        with("10.0.0.5:8082", "10.0.0.5:8081"),
        with("9f86d081884c7d659a2f", "my-token"),
        with(
            "[9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08]",
            "[]",
        ),
        with("http://10.0.0.1:8001", "https://10.0.0.1"),
        with("http://10.0.0.1:8001", "http://10.0.0.1:8001/api"),
        errors(&format!("{WHOLE}weight_store:\n  loads_per_second: 0\n")),
        errors(&format!("{WHOLE}weight_store:\n  loads_per_second: some\n")),
        errors(&format!(
            "{WHOLE}timing:\n  heartbeat_ms: 400\n  suspect_ms: 500\n"
        )),
        errors(&format!("{WHOLE}timing:\n  standing_ms: 1000\n")),
        errors(&format!("{WHOLE}timing:\n  hartbeat_ms: 400\n")),
        errors(&format!("{WHOLE}policies:\n  placement: nearest\n")),
        errors(&format!("{WHOLE}limits:\n  body_bytes: -1\n")),
        errors("instance: [unclosed"),
    ];
    insta::assert_snapshot!(cases.join("\n\n"));
}

/// A token that someone wrote instead of its digest must not end up in a terminal's history.
#[test]
fn a_token_in_place_of_its_digest_is_not_shown() {
    let digest = "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08";
    assert!(!with(digest, "secret-token").contains("secret-token"));
}

#[test]
fn baselines_are_selectable() {
    let text = format!(
        "{WHOLE}policies: {{placement: least_loaded, queue: first_come, rates: even_split, grouping: pool}}\n"
    );
    let tuning = Settings::parse("settings.yaml", &text).unwrap().tuning;
    let chosen = (
        tuning.placement,
        tuning.queue,
        tuning.rates,
        tuning.grouping,
    );
    insta::assert_debug_snapshot!(chosen);
}

#[test]
fn a_file_that_is_not_there_is_said_so() {
    let missing = std::path::Path::new("no-such-file.yaml");
    let error = Settings::read(missing).unwrap_err().to_string();
    assert!(
        error.starts_with("no-such-file.yaml: can't be read"),
        "{error}"
    );
}

#[test]
fn the_docs_list_every_setting_with_unit_default_and_bounds() {
    let docs = include_str!("../../../docs/SETTINGS.md");
    let rows: Vec<&str> = docs
        .lines()
        .filter(|line| line.starts_with("| `"))
        .collect();
    let numbers = NUMBERS.iter().map(|number| {
        let start = format!(
            "| `{}` | {} | {} | {} to {} | ",
            number.key, number.unit, number.default, number.min, number.max
        );
        start
    });
    let texts = TEXTS.iter().map(|text| {
        let default = text.default.unwrap_or("must be given");
        format!("| `{}` | {} | {default} | ", text.key, text.form)
    });
    let expected: Vec<_> = texts.chain(numbers).collect();
    for start in &expected {
        let listed = rows.iter().filter(|row| row.starts_with(start.as_str()));
        assert_eq!(
            listed.count(),
            1,
            "docs/SETTINGS.md lacks a row that begins with: {start}"
        );
    }
    assert_eq!(
        rows.len(),
        expected.len(),
        "docs/SETTINGS.md lists a setting that is not there"
    );
}
