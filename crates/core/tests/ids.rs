//! Names of the own interface and names that are taken from outside.

use bluebellstage_core::catalogue::{Change, ServiceEntry, WorkspaceEntry};
use bluebellstage_core::{AdapterId, BaseModel, ServiceId, TargetId, WorkspaceId};
use serde_json::json;

/// Guards against a name of the platform's operators that is taken for none.
#[test]
fn names_from_outside_hold_all_that_can_be_carried() {
    let longest = "\u{e9}".repeat(256);
    for name in [
        "north desk",
        "Lavall\u{e9}e",
        "\u{1f682}",
        "a\tb",
        "\"a\"=%20,",
        &longest,
    ] {
        assert_eq!(WorkspaceId::try_from(name).unwrap().as_str(), name);
        assert_eq!(ServiceId::try_from(name).unwrap().as_str(), name);
        assert_eq!(BaseModel::try_from(name).unwrap().as_str(), name);
        let text = serde_json::to_string(&WorkspaceId::try_from(name).unwrap()).unwrap();
        let read = serde_json::from_str::<WorkspaceId>(&text).unwrap();
        assert_eq!(read.as_str(), name);
    }
}

/// Guards against a name that is cut in a header, or means another one in a hashed key.
#[test]
fn names_that_can_not_be_carried_are_refused() {
    let too_long = "x".repeat(513);
    for name in [
        "", " ", " a", "a ", "\ta", "a\n", "a\nb", "a\0b", "a\x7f", "a\rb", &too_long,
    ] {
        assert!(WorkspaceId::try_from(name).is_err(), "{name:?}");
        assert!(ServiceId::try_from(name).is_err(), "{name:?}");
        assert!(BaseModel::try_from(name).is_err(), "{name:?}");
    }
}

/// Guards against an own interface that takes more than its pages promise.
#[test]
fn the_own_interface_keeps_to_its_rule() {
    for name in ["north desk", "Lavall\u{e9}e", &"x".repeat(129)] {
        assert!(name.parse::<WorkspaceId>().is_err(), "{name}");
        assert!(name.parse::<ServiceId>().is_err(), "{name}");
        assert!(name.parse::<BaseModel>().is_err(), "{name}");
        assert!(AdapterId::try_from(name).is_err(), "{name}");
        assert!(TargetId::try_from(name).is_err(), "{name}");
        let workspace = json!({ "id": name, "rate": 1, "burst": 1 });
        assert!(
            serde_json::from_value::<WorkspaceEntry>(workspace).is_err(),
            "{name}"
        );
        let service = json!({ "id": "a", "workspaces": ["b", name] });
        assert!(
            serde_json::from_value::<ServiceEntry>(service).is_err(),
            "{name}"
        );
        let removal = json!({ "remove_workspace": name });
        assert!(serde_json::from_value::<Change>(removal).is_err(), "{name}");
    }
    let sound = json!({ "id": "a", "workspaces": ["b", "c"] });
    let service = serde_json::from_value::<ServiceEntry>(sound).unwrap();
    assert_eq!(service.workspaces.len(), 2);
    let removal = serde_json::from_value::<Change>(json!({ "remove_workspace": "a" }));
    assert!(matches!(removal.unwrap(), Change::RemoveWorkspace(_)));
}
