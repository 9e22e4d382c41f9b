//! Differences between two declarations, as text for operators.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Display;
use std::sync::Arc;

use super::declaration::{
    CallKind, CallerLimits, EngineRule, ModelRule, RouteDeclaration, RouteRule, ServiceRule,
    ServiceShare, WorkspaceRule,
};
use crate::check_report::counted;

/// Describes what `new` changes in `old`, with a sentence for each changed item. Keys are counted
/// and not shown.
pub fn describe_declaration_change(old: &RouteDeclaration, new: &RouteDeclaration) -> Vec<String> {
    // Destructuring turns a new field that is missing here into a compile error.
    let RouteDeclaration {
        number,
        routes,
        services,
        workspaces,
        limits,
    } = new;
    let mut lines = Vec::new();
    let mut declaration = ItemChanges::new("Declaration".to_owned(), &mut lines);
    declaration.compare("number", &old.number, number);
    describe_items(
        &by_key(&old.routes, RouteRule::location),
        &by_key(routes, RouteRule::location),
        |rule| format!("Route {} ({}{})", rule.name, rule.host, rule.prefix),
        describe_route,
        &mut lines,
    );
    describe_items(
        &by_key(&old.services, |rule| &*rule.name),
        &by_key(services, |rule| &*rule.name),
        |rule| format!("Service {}", rule.name),
        describe_service,
        &mut lines,
    );
    describe_items(
        &by_key(&old.workspaces, |rule| &*rule.name),
        &by_key(workspaces, |rule| &*rule.name),
        |rule| format!("Workspace {}", rule.name),
        describe_workspace,
        &mut lines,
    );
    describe_limits(&old.limits, limits, &mut lines);
    lines
}

/// Sentences about the changed values of one item.
struct ItemChanges<'a> {
    subject: String,
    lines: &'a mut Vec<String>,
}

impl<'a> ItemChanges<'a> {
    fn new(subject: String, lines: &'a mut Vec<String>) -> Self {
        Self { subject, lines }
    }

    fn say(&mut self, change: &str) {
        self.lines.push(format!("{} {change}.", self.subject));
    }

    fn compare<T: PartialEq + Display>(&mut self, item: &str, old: &T, new: &T) {
        if old != new {
            self.lines.push(format!(
                "{}: {item} goes from {old} to {new}.",
                self.subject
            ));
        }
    }

    fn compare_as<T: PartialEq>(
        &mut self,
        item: &str,
        old: &T,
        new: &T,
        text: impl Fn(&T) -> String,
    ) {
        if old != new {
            self.compare(item, &text(old), &text(new));
        }
    }
}

fn by_key<'a, T, K: Ord>(rules: &'a [T], key: impl Fn(&'a T) -> K) -> BTreeMap<K, &'a T> {
    rules.iter().map(|rule| (key(rule), rule)).collect()
}

fn describe_items<K: Ord, T: PartialEq>(
    old: &BTreeMap<K, &T>,
    new: &BTreeMap<K, &T>,
    subject: impl Fn(&T) -> String,
    describe: impl Fn(&T, &T, &mut ItemChanges<'_>),
    lines: &mut Vec<String>,
) {
    for (_, rule) in old.iter().filter(|(key, _)| !new.contains_key(key)) {
        ItemChanges::new(subject(rule), lines).say("is removed");
    }
    for (key, rule) in new {
        let mut changes = ItemChanges::new(subject(rule), lines);
        match old.get(key) {
            None => changes.say("is new"),
            Some(before) => describe(before, rule, &mut changes),
        }
    }
}

fn describe_route(old: &RouteRule, new: &RouteRule, changes: &mut ItemChanges<'_>) {
    let RouteRule {
        name,
        host: _,
        prefix: _,
        kind,
        timeout_ms,
        target_latency_ms,
        target_gap_ms,
        priority,
        models,
        shares,
        max_attempts,
        needs_key,
    } = new;
    let millis = |value: &u64| format!("{value} ms");
    let gap = |value: &Option<u64>| value.as_ref().map_or("none".to_owned(), millis);
    changes.compare("name", &old.name, name);
    changes.compare_as("kind", &old.kind, kind, |kind| kind_text(*kind).to_owned());
    changes.compare_as("timeout", &old.timeout_ms, timeout_ms, millis);
    changes.compare_as(
        "target latency",
        &old.target_latency_ms,
        target_latency_ms,
        millis,
    );
    changes.compare_as("target gap", &old.target_gap_ms, target_gap_ms, gap);
    changes.compare("priority", &old.priority, priority);
    changes.compare_as("model list", &old.models, models, |models| {
        list(models, name_text)
    });
    changes.compare_as("service split", &old.shares, shares, |shares| {
        list(shares, share_text)
    });
    changes.compare("limit of attempts", &old.max_attempts, max_attempts);
    if old.needs_key != *needs_key {
        changes.say(if *needs_key {
            "needs a key from now on"
        } else {
            "no longer needs a key"
        });
    }
}

fn kind_text(kind: CallKind) -> &'static str {
    match kind {
        CallKind::Idempotent => "idempotent",
        CallKind::NonIdempotent => "non-idempotent",
        CallKind::Stream { is_resumable: true } => "resumable stream",
        CallKind::Stream {
            is_resumable: false,
        } => "stream",
    }
}

fn share_text(share: &ServiceShare) -> String {
    format!("{} {}", share.service, share.weight)
}

fn model_text(model: &ModelRule) -> String {
    format!("{} at {}", model.name, model.cost)
}

fn name_text(name: &Arc<str>) -> String {
    name.to_string()
}

fn list<T>(items: &[T], text: impl Fn(&T) -> String) -> String {
    if items.is_empty() {
        return "none".to_owned();
    }
    let texts: Vec<String> = items.iter().map(text).collect();
    texts.join(", ")
}

fn describe_service(old: &ServiceRule, new: &ServiceRule, changes: &mut ItemChanges<'_>) {
    let ServiceRule {
        name: _,
        health_path,
        max_connections,
        cold_ms,
        cold_per_s,
        models,
        engine,
    } = new;
    changes.compare("health check", &old.health_path, health_path);
    changes.compare(
        "limit of connections",
        &old.max_connections,
        max_connections,
    );
    changes.compare_as("cold time", &old.cold_ms, cold_ms, |ms| format!("{ms} ms"));
    changes.compare_as("cold rate", &old.cold_per_s, cold_per_s, |rate| {
        format!("{rate} calls per second")
    });
    changes.compare_as("model list", &old.models, models, |models| {
        list(models, model_text)
    });
    match (&old.engine, engine) {
        (Some(before), Some(after)) => describe_engine(before, after, changes),
        (None, Some(_)) => changes.say("has an engine from now on"),
        (Some(_), None) => changes.say("no longer has an engine"),
        (None, None) => {}
    }
}

fn describe_engine(old: &EngineRule, new: &EngineRule, changes: &mut ItemChanges<'_>) {
    let EngineRule {
        slots,
        kv_tokens,
        token_bytes,
        link_mbps,
        event_tokens,
        has_moves,
        has_backups,
        copy_ttl_ms,
    } = new;
    changes.compare("number of slots", &old.slots, slots);
    changes.compare("KV cache size in tokens", &old.kv_tokens, kv_tokens);
    changes.compare(
        "KV cache size per token, in bytes,",
        &old.token_bytes,
        token_bytes,
    );
    changes.compare("link bandwidth in Mbit/s", &old.link_mbps, link_mbps);
    changes.compare(
        "number of tokens per event",
        &old.event_tokens,
        event_tokens,
    );
    changes.compare("support for moves", &old.has_moves, has_moves);
    changes.compare("support for backups", &old.has_backups, has_backups);
    changes.compare_as("lifetime of copies", &old.copy_ttl_ms, copy_ttl_ms, |ms| {
        format!("{ms} ms")
    });
}

fn describe_workspace(old: &WorkspaceRule, new: &WorkspaceRule, changes: &mut ItemChanges<'_>) {
    let WorkspaceRule {
        name: _,
        keys,
        priority,
    } = new;
    let old_keys: BTreeSet<_> = old.keys.iter().collect();
    let new_keys: BTreeSet<_> = keys.iter().collect();
    let added = new_keys.difference(&old_keys).count();
    let removed = old_keys.difference(&new_keys).count();
    if added > 0 {
        changes.say(&format!("gets {}", counted(added, "further key")));
    }
    if removed > 0 {
        changes.say(&format!("loses {}", counted(removed, "key")));
    }
    changes.compare_as("priority", &old.priority, priority, |priority| {
        priority.map_or("none".to_owned(), |priority| priority.to_string())
    });
}

fn describe_limits(old: &CallerLimits, new: &CallerLimits, lines: &mut Vec<String>) {
    let CallerLimits {
        head_bytes,
        body_bytes,
        head_ms,
        idle_ms,
    } = new;
    let mut changes = ItemChanges::new("Limits".to_owned(), lines);
    changes.compare("head size in bytes", &old.head_bytes, head_bytes);
    changes.compare("body size in bytes", &old.body_bytes, body_bytes);
    changes.compare("head timeout in ms", &old.head_ms, head_ms);
    changes.compare("idle timeout in ms", &old.idle_ms, idle_ms);
}
