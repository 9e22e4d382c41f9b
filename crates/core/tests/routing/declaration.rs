use std::sync::Arc;

use chestnutloft_core::routing::{DeclarationFinding, RouteDeclaration};

use crate::fixture::{declaration, route, share, workspace};

fn findings_after(change: impl FnOnce(&mut RouteDeclaration)) -> Vec<DeclarationFinding> {
    let mut declaration = declaration(1);
    change(&mut declaration);
    declaration.check()
}

#[test]
fn a_valid_declaration_has_no_findings() {
    assert_eq!(findings_after(|_| {}), []);
}

#[test]
fn a_route_to_an_unknown_service_is_found() {
    let findings = findings_after(|d| d.routes[1].shares.push(share("nothing", 1)));

    let expected = DeclarationFinding::UnknownService {
        route: Arc::from("refills"),
        service: Arc::from("nothing"),
    };
    assert_eq!(findings, [expected]);
}

#[test]
fn two_routes_with_the_same_host_and_prefix_are_found() {
    let findings = findings_after(|d| d.routes.push(route("again", "/refills/")));

    let expected = DeclarationFinding::SamePlace {
        route: Arc::from("again"),
    };
    assert_eq!(findings, [expected]);
}

#[test]
fn weights_that_add_up_to_zero_are_found() {
    let zero = findings_after(|d| d.routes[0].shares = vec![share("orders", 0)]);
    let none = findings_after(|d| d.routes[0].shares.clear());

    let expected = DeclarationFinding::NoWeight {
        route: Arc::from("all"),
    };
    assert_eq!(zero, std::slice::from_ref(&expected));
    assert_eq!(none, [expected]);
}

#[test]
fn a_timeout_of_zero_is_found() {
    let findings = findings_after(|d| d.routes[0].timeout_ms = 0);

    let expected = DeclarationFinding::NoTimeout {
        route: Arc::from("all"),
    };
    assert_eq!(findings, [expected]);
}

#[test]
fn a_key_of_two_workspaces_is_found_and_one_listed_twice_is_not() {
    let shared = findings_after(|d| d.workspaces.push(workspace("other", &["k1"])));
    let repeated = findings_after(|d| d.workspaces[0].keys.push(Arc::from("k1")));

    let expected = DeclarationFinding::SharedKey {
        workspace: Arc::from("other"),
    };
    assert_eq!(shared, [expected]);
    assert_eq!(repeated, []);
}

#[test]
fn all_findings_are_reported_at_once() {
    let findings = findings_after(|d| {
        d.routes[0].timeout_ms = 0;
        d.routes[1].shares.clear();
        d.workspaces.push(workspace("other", &["k3"]));
    });

    assert_eq!(findings.len(), 3, "{findings:?}");
}
