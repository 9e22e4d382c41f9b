use chestnutloft_core::routing::{
    CallKind, DeclarationCheckSettings, RouteDeclaration, RouteTable, check_replacement,
    check_route_declaration,
};

use crate::fixture::{declaration, route, service, share, workspace};

/// The findings as text, after `change`.
fn findings_after(change: impl FnOnce(&mut RouteDeclaration)) -> Vec<String> {
    let mut declaration = declaration(1);
    change(&mut declaration);
    let settings = DeclarationCheckSettings::default();
    let findings = check_route_declaration(&declaration, &settings);
    findings.iter().map(ToString::to_string).collect()
}

/// The warnings about splits that replace 9 to 1, as text.
fn warnings_for_split(weights: &[(&str, u32)]) -> Vec<String> {
    let with_split = |number, weights: &[(&str, u32)]| {
        let mut declaration = declaration(number);
        let shares = weights.iter();
        declaration.routes[0].shares = shares.map(|(name, weight)| share(name, *weight)).collect();
        declaration
    };
    let old = with_split(1, &[("orders", 9), ("next", 1)]);
    let findings = check_replacement(&old, &with_split(2, weights));
    findings
        .iter()
        .map(|finding| finding.problem.clone())
        .collect()
}

/// Guards against findings in a declaration that keepers accept and that has no doubtful part.
#[test]
fn a_valid_declaration_has_no_warnings() {
    assert_eq!(findings_after(|_| {}), Vec::<String>::new());
}

/// Guards against a check that decides about prefixes otherwise than the table that routes calls.
#[test]
fn a_prefix_is_doubted_exactly_where_no_path_matches_it() {
    let paths = [
        "/", "/a", "/a/", "/a/b", "/a/b/", "/a/b/c", "//", "/a//", "/a//b",
    ];
    for prefix in [
        "", "/", "/a", "/a/", "a/", "/a/b", "/a/b/", "//", "/a//", "/a?/", "/a#/",
    ] {
        let mut declared = declaration(1);
        declared.routes = vec![route("tested", prefix)];
        let table = RouteTable::new(&declared);
        let is_matched = paths
            .iter()
            .any(|path| table.route("shop.example", path).is_some());

        let findings = findings_after(|d| d.routes = declared.routes);

        let is_doubted = findings
            .iter()
            .any(|finding| finding.contains("never matches"));
        assert_eq!(is_doubted, !is_matched, "{prefix:?}: {findings:?}");
    }
}

/// Guards against a limit of attempts that is doubted although the retry budget bears it.
#[test]
fn attempts_are_compared_with_the_retry_budget() {
    let mut declared = declaration(1);
    declared.routes[0].max_attempts = 4;
    let count = |retry_ratio| {
        let settings = DeclarationCheckSettings {
            retry_ratio,
            ..DeclarationCheckSettings::default()
        };
        check_route_declaration(&declared, &settings).len()
    };

    // A half, a quarter and an eighth of the calls need another attempt.
    assert_eq!((count(0.87), count(0.88)), (1, 0));
}

/// Guards against a route with several models that never escalates, without a word to its operator
/// (review/15).
#[test]
fn routes_that_never_escalate_are_found() {
    let finding = |kind, max_attempts, models: &[&str]| {
        let findings = findings_after(|d| {
            d.routes[0].kind = kind;
            d.routes[0].max_attempts = max_attempts;
            d.routes[0].models = models.iter().copied().map(Into::into).collect();
        });
        findings.join("\n")
    };
    let stream = |is_resumable| CallKind::Stream { is_resumable };
    let sizes = ["s", "l"];

    let single_run = "calls may run only once: no escalation among the 2 models";
    assert!(finding(stream(false), 2, &sizes).contains(single_run));
    assert!(finding(stream(false), 1, &sizes).contains(single_run));
    assert!(finding(CallKind::NonIdempotent, 2, &sizes).contains(single_run));
    assert!(finding(stream(true), 1, &sizes).contains("1 attempt per call: no escalation"));
    assert_eq!(finding(stream(true), 2, &sizes), "");
    assert_eq!(finding(stream(false), 2, &sizes[..1]), "");
}

/// Guards against workspaces that are taken for usable, or doubted although no route needs a key.
#[test]
fn workspaces_without_an_open_route_are_found() {
    let closed = findings_after(|d| d.workspaces.push(workspace("new", &[])));
    let partly = findings_after(|d| {
        d.workspaces.push(workspace("new", &[]));
        d.routes[0].needs_key = false;
    });
    let unused = findings_after(|d| d.routes.iter_mut().for_each(|rule| rule.needs_key = false));

    assert!(
        closed[0].contains("workspace 3 (new), keys: every route is closed"),
        "{closed:?}"
    );
    assert!(
        partly[0].contains("its callers reach only 1 route"),
        "{partly:?}"
    );
    assert!(
        unused[0].contains("no call belongs to a workspace"),
        "{unused:?}"
    );
    assert_eq!((closed.len(), partly.len(), unused.len()), (1, 1, 1));
}

/// Guards against an error that points at the first of two routes or workspaces with one name.
#[test]
fn errors_point_at_the_item_itself_where_names_repeat() {
    let findings = findings_after(|d| {
        d.routes.push(route("all", "/late/"));
        d.routes[2].timeout_ms = 0;
        d.services.push(service("orders"));
    });

    assert!(
        findings[0].starts_with("error: route 3 (all), timeout: "),
        "{findings:?}"
    );
    assert!(
        findings[1].starts_with("warning: service 1 (orders), name: "),
        "{findings:?}"
    );
    assert_eq!(findings.len(), 2, "{findings:?}");
}

/// Guards against a changed split that moves active sessions without the operator's knowledge.
#[test]
fn sessions_that_a_new_split_moves_are_estimated() {
    let percent = |weights: &[(&str, u32)]| {
        let warnings = warnings_for_split(weights);
        let text = warnings.first()?.strip_prefix("about ")?;
        text.split('%').next()?.parse::<u32>().ok()
    };

    assert_eq!(percent(&[("orders", 9), ("next", 1)]), None);
    assert!((28..=32).contains(&percent(&[("orders", 6), ("next", 4)]).expect("a warning")));
    assert_eq!(percent(&[("others", 10)]), Some(100));
}

/// Guards against a declaration that has no effect because its number is not above the one in
/// force.
#[test]
fn a_changed_declaration_needs_a_higher_number() {
    let mut changed = declaration(5);
    changed.routes[0].timeout_ms += 1;

    assert_eq!(check_replacement(&declaration(5), &changed).len(), 1);
    assert_eq!(check_replacement(&declaration(4), &changed).len(), 0);
    assert_eq!(check_replacement(&declaration(5), &declaration(5)).len(), 0);
}
