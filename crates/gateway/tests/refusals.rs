//! What is logged of requests that are refused.

mod support;

use support::{call, tables};

/// Guards against refusals that operators can't add up by route and workspace.
#[test]
fn route_and_workspace_of_a_refused_request_are_named_where_they_are_known() {
    let tables = tables();
    let names = |path, key| tables.routes.names(&call(path, key));
    let [route, workspace] = [("route", "draft"), ("workspace", "north")];
    assert_eq!(names("/draft/1", Some("key-1")), [route, workspace]);
    assert_eq!(names("/draft/1", Some("no-key")), [route]);
    assert_eq!(names("/draft/1", None), [route]);
    assert_eq!(names("/nowhere", Some("key-1")), [workspace]);
}
