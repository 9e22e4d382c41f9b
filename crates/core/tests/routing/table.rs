use std::sync::Arc;

use chestnutloft_core::routing::{KeyLookup, RouteTable};

use crate::fixture::declaration;

#[test]
fn the_longest_matching_prefix_is_selected() {
    let table = RouteTable::new(&declaration(1));
    let name = |path| {
        table
            .route("shop.example", path)
            .map(|rule| rule.name.to_string())
    };

    assert_eq!(name("/refills/7").as_deref(), Some("refills"));
    assert_eq!(name("/refills/").as_deref(), Some("refills"));
    assert_eq!(name("/refills").as_deref(), Some("all"));
    assert_eq!(name("/refills7/a").as_deref(), Some("all"));
}

#[test]
fn an_unknown_host_has_no_route() {
    let table = RouteTable::new(&declaration(1));

    assert!(table.route("other.example", "/refills/7").is_none());
}

#[test]
fn a_key_identifies_its_workspace() {
    let table = RouteTable::new(&declaration(1));
    let route = table.route("shop.example", "/").expect("declared");
    let owner = |key| match table.look_up_key(route, key) {
        KeyLookup::Owner(workspace) => workspace.name.to_string(),
        other => format!("{other:?}"),
    };

    assert_eq!(owner(Some("k2")), "riders");
    assert_eq!(owner(Some("k3")), "shops");
    assert_eq!(owner(Some("k4")), "Unknown");
    assert_eq!(owner(None), "Unknown");
}

#[test]
fn no_key_is_needed_on_an_open_route_or_without_workspaces() {
    let mut open = declaration(1);
    open.routes[0].needs_key = false;
    let mut empty = declaration(1);
    empty.workspaces.clear();

    for declaration in [open, empty] {
        let table = RouteTable::new(&declaration);
        let route = Arc::clone(table.route("shop.example", "/").expect("declared"));
        assert_eq!(table.look_up_key(&route, None), KeyLookup::NotRequired);
    }
}
