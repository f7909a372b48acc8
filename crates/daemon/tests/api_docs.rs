//! docs/API.md lists every kind of refusal with the status that it has.

use bluebellstage_core::RefusalKind;
use bluebellstage_daemon::status_of;

const KINDS: [RefusalKind; 19] = [
    RefusalKind::KeyMissing,
    RefusalKind::KeyRefused,
    RefusalKind::NotFound,
    RefusalKind::VersionUnknown,
    RefusalKind::IdempotencyKeyMissing,
    RefusalKind::Malformed,
    RefusalKind::TooLarge,
    RefusalKind::SenderTimeout,
    RefusalKind::NeverAdmissible,
    RefusalKind::RateExceeded,
    RefusalKind::Overloaded,
    RefusalKind::NoTarget,
    RefusalKind::NoStanding,
    RefusalKind::PlatformUnavailable,
    RefusalKind::InProgress,
    RefusalKind::InDoubt,
    RefusalKind::KeyReused,
    RefusalKind::TargetFailed,
    RefusalKind::Stopping,
];

#[test]
fn the_docs_list_every_refusal_with_its_status() {
    let docs = include_str!("../../../docs/API.md");
    for kind in KINDS {
        let name = serde_json::to_value(kind).unwrap();
        let start = format!("| {} | `{}` | ", status_of(kind), name.as_str().unwrap());
        let rows = docs.lines().filter(|line| line.starts_with(&start));
        assert_eq!(
            rows.count(),
            1,
            "docs/API.md lacks a row that begins with: {start}"
        );
    }
}
