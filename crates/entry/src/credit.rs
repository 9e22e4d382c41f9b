//! Slots of cold endpoints: asking their owners, and lending them as owner.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use chestnutloft_core::hash::rendezvous_owner;
use chestnutloft_core::ids::{EndpointId, EntryId};
use chestnutloft_core::state::{CreditAllocator, CreditGrant, CreditSettings, LiveEntry};
use chestnutloft_core::time::TimePoint;
use chestnutloft_wire::clock;
use chestnutloft_wire::message::{CreditCall, CreditItem, CreditReply};
use chestnutloft_wire::rpc::Method;

use crate::attempt::wake_all_pools;
use crate::context::EntryContext;

/// Time between two reports to the owners.
const REPORT_INTERVAL: Duration = Duration::from_millis(50);
/// Time for an owner to answer.
const OWNER_TIMEOUT: Duration = Duration::from_millis(400);

/// Books of the cold endpoints that this entry owns.
#[derive(Debug, Default)]
pub struct CreditDesk {
    owners: HashMap<EndpointId, CreditAllocator>,
    view: Vec<EntryId>,
    view_since: TimePoint,
}

impl CreditDesk {
    /// Follows the live entries. What this entry owns no more is forgotten, so that it starts
    /// with the full wait should it come to own it again.
    pub fn follow(&mut self, now: TimePoint, live: &[LiveEntry], own: &EntryId) {
        let view: Vec<EntryId> = live.iter().map(|l| l.entry.clone()).collect();
        if view == self.view {
            return;
        }
        self.view = view;
        self.view_since = now;
        let is_own =
            |endpoint: &EndpointId| owner_of(live, endpoint).is_some_and(|l| l.entry == *own);
        self.owners.retain(|endpoint, _| is_own(endpoint));
    }

    /// Lends slots of one endpoint.
    pub fn lend(
        &mut self,
        now: TimePoint,
        entry: &EntryId,
        item: &CreditItem,
        busy: u32,
        settings: &CreditSettings,
    ) -> Option<CreditGrant> {
        let lends_from = settings.first_grant_at(self.view_since);
        let owner = self.owners.entry(item.endpoint.clone()).or_insert_with(|| {
            CreditAllocator::new(settings, item.life, item.full_slots, lends_from)
        });
        if item.life < owner.epoch() {
            return None;
        }
        if item.life.0 > owner.epoch().0 {
            *owner = CreditAllocator::new(settings, item.life, item.full_slots, lends_from);
        } else if item.life > owner.epoch() {
            owner.restart_ramp(item.life, item.full_slots);
        }
        Some(owner.grant(now, entry, item.report, busy))
    }
}

/// The owner of `endpoint` among the live entries.
pub fn owner_of<'a>(live: &'a [LiveEntry], endpoint: &EndpointId) -> Option<&'a LiveEntry> {
    let names = live.iter().map(|entry| entry.entry.as_str());
    let owner = rendezvous_owner(endpoint.as_str().as_bytes(), names)?;
    live.iter().find(|entry| entry.entry.as_str() == owner)
}

/// Answers a call for slots, as owner.
pub fn lend(context: &EntryContext, call: &CreditCall) -> CreditReply {
    let now = clock::now();
    let live = context.live().clone();
    if !context.lease().is_valid(now) {
        return CreditReply {
            grants: vec![None; call.items.len()],
        };
    }
    let (busy, settings) = {
        let router = context.router();
        let busy: Vec<u32> = call
            .items
            .iter()
            .map(|item| {
                let record = router.registry.get(&item.endpoint);
                record.map_or(0, |r| r.announcement.load.running)
            })
            .collect();
        (busy, router.settings.credit.clone())
    };
    let mut desk = context.desk();
    desk.follow(now, &live, &context.entry);
    let grants = call.items.iter().zip(busy).map(|(item, busy)| {
        let is_own = owner_of(&live, &item.endpoint).is_some_and(|l| l.entry == context.entry);
        is_own
            .then(|| desk.lend(now, &call.entry, item, busy, &settings))
            .flatten()
    });
    CreditReply {
        grants: grants.collect(),
    }
}

/// Reports to the owners until the process ends.
pub async fn run(context: Arc<EntryContext>) {
    let mut interval = tokio::time::interval(REPORT_INTERVAL);
    loop {
        // Demand that a cold endpoint could not meet is told at once; all else can wait a little.
        let is_tick = tokio::select! {
            _ = interval.tick() => true,
            () = context.demand.notified() => false,
        };
        let live = context.live().clone();
        context.desk().follow(clock::now(), &live, &context.entry);
        for (owner, items) in reports_by_owner(&context, &live) {
            let context = Arc::clone(&context);
            tokio::spawn(async move { ask_owner(&context, &owner, items).await });
        }
        if is_tick {
            wake_all_pools(&context);
        }
    }
}

type AskedItem = (CreditItem, TimePoint);

fn reports_by_owner(
    context: &EntryContext,
    live: &[LiveEntry],
) -> BTreeMap<String, Vec<AskedItem>> {
    let now = clock::now();
    let mut reports: BTreeMap<String, Vec<AskedItem>> = BTreeMap::new();
    let mut router = context.router();
    let router = &mut *router;
    for (endpoint, usage) in router.usages.iter_mut() {
        if !usage.credits.needs_report(now) {
            continue;
        }
        let Some(record) = router.registry.get(endpoint) else {
            continue;
        };
        let Some(owner) = owner_of(live, endpoint) else {
            continue;
        };
        let item = CreditItem {
            endpoint: endpoint.clone(),
            life: usage.credits.epoch(),
            full_slots: record.announcement.slots,
            report: usage.credits.report(now),
        };
        let address = if owner.entry == context.entry {
            String::new()
        } else {
            owner.address.clone()
        };
        reports.entry(address).or_default().push((item, now));
    }
    reports
}

/// Asks one owner; an empty address means this entry itself.
async fn ask_owner(context: &EntryContext, address: &str, items: Vec<AskedItem>) {
    let call = CreditCall {
        entry: context.entry.clone(),
        items: items.iter().map(|(item, _)| item.clone()).collect(),
    };
    let reply = if address.is_empty() {
        lend(context, &call)
    } else {
        let caller = &context.caller;
        match caller
            .call(address, Method::Credit, &call, OWNER_TIMEOUT)
            .await
        {
            Ok(reply) => reply,
            Err(error) => {
                spdlog::debug!("credit: no grant from {address}: {error}.");
                return;
            }
        }
    };
    let mut router = context.router();
    for ((item, asked_at), grant) in items.into_iter().zip(reply.grants) {
        if let Some(grant) = grant {
            let usage = router.usages.entry(&item.endpoint);
            usage.credits.apply_grant(asked_at, item.life, grant);
        }
    }
    drop(router);
    wake_all_pools(context);
}
