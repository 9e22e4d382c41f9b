//! Slot credits of cold endpoints: requests them from the owners, and lends them for the endpoints
//! that this entry owns.

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

use crate::attempt::wake_queued_in_all_pools;
use crate::context::EntryContext;

/// Interval between reports to the owners.
const REPORT_INTERVAL: Duration = Duration::from_millis(50);
/// Timeout of one credit call to an owner.
const OWNER_TIMEOUT: Duration = Duration::from_millis(400);

/// Slot credits of the cold endpoints that this entry owns.
#[derive(Debug, Default)]
pub struct CreditRegistry {
    allocators: HashMap<EndpointId, CreditAllocator>,
    known_entries: Vec<EntryId>,
    known_entries_since: TimePoint,
}

impl CreditRegistry {
    /// Applies a change of the live entries. Drops the credits of endpoints that this entry no
    /// longer owns, so that it delays its first grant ([`CreditSettings::first_grant_at`]) if it
    /// becomes the owner again.
    pub fn update_entries(
        &mut self,
        now: TimePoint,
        live_entries: &[LiveEntry],
        own_entry: &EntryId,
    ) {
        let known_entries: Vec<EntryId> = live_entries.iter().map(|l| l.entry.clone()).collect();
        if known_entries == self.known_entries {
            return;
        }
        self.known_entries = known_entries;
        self.known_entries_since = now;
        let is_own = |endpoint: &EndpointId| {
            owner_of(live_entries, endpoint).is_some_and(|l| l.entry == *own_entry)
        };
        self.allocators.retain(|endpoint, _| is_own(endpoint));
    }

    /// Lends slots of one endpoint to `entry`; `None` if `item` has an outdated incarnation or
    /// cold epoch. `running` is the number of requests that the endpoint last reported as running.
    pub fn lend(
        &mut self,
        now: TimePoint,
        entry: &EntryId,
        item: &CreditItem,
        running: u32,
        settings: &CreditSettings,
    ) -> Option<CreditGrant> {
        let lends_from = settings.first_grant_at(self.known_entries_since);
        let allocator = self
            .allocators
            .entry(item.endpoint.clone())
            .or_insert_with(|| {
                CreditAllocator::new(settings, item.life, item.full_slots, lends_from)
            });
        if item.life < allocator.epoch() {
            return None;
        }
        if item.life.0 > allocator.epoch().0 {
            *allocator = CreditAllocator::new(settings, item.life, item.full_slots, lends_from);
        } else if item.life > allocator.epoch() {
            allocator.restart_ramp(item.life, item.full_slots);
        }
        Some(allocator.grant(now, entry, item.report, running))
    }
}

/// Owner of `endpoint` among the live entries, by rendezvous hashing.
pub fn owner_of<'a>(live_entries: &'a [LiveEntry], endpoint: &EndpointId) -> Option<&'a LiveEntry> {
    let names = live_entries.iter().map(|entry| entry.entry.as_str());
    let owner = rendezvous_owner(endpoint.as_str().as_bytes(), names)?;
    live_entries
        .iter()
        .find(|entry| entry.entry.as_str() == owner)
}

/// Handles a credit call. Grants nothing while this entry holds no lease, and nothing for endpoints
/// that it does not own.
pub fn lend(context: &EntryContext, call: &CreditCall) -> CreditReply {
    let now = clock::now();
    let live_entries = context.live_entries().clone();
    if !context.lease().is_valid(now) {
        return CreditReply {
            grants: vec![None; call.items.len()],
        };
    }
    let (running, settings) = {
        let router = context.router();
        let running: Vec<u32> = call
            .items
            .iter()
            .map(|item| {
                let record = router.registry.get(&item.endpoint);
                record.map_or(0, |r| r.announcement.load.running)
            })
            .collect();
        (running, router.settings.credit.clone())
    };
    let mut credit_registry = context.credit_registry();
    credit_registry.update_entries(now, &live_entries, &context.entry);
    let grants = call.items.iter().zip(running).map(|(item, running)| {
        let is_own =
            owner_of(&live_entries, &item.endpoint).is_some_and(|l| l.entry == context.entry);
        is_own
            .then(|| credit_registry.lend(now, &call.entry, item, running, &settings))
            .flatten()
    });
    CreditReply {
        grants: grants.collect(),
    }
}

/// Reports slot usage to the owners and receives their grants until the process ends.
pub async fn run(context: Arc<EntryContext>) {
    let mut interval = tokio::time::interval(REPORT_INTERVAL);
    loop {
        // A request that found no slot triggers a report at once; other changes wait for the next
        // interval.
        let is_tick = tokio::select! {
            _ = interval.tick() => true,
            () = context.cold_slot_demand.notified() => false,
        };
        let live_entries = context.live_entries().clone();
        context
            .credit_registry()
            .update_entries(clock::now(), &live_entries, &context.entry);
        for (owner, items) in reports_by_owner(&context, &live_entries) {
            let context = Arc::clone(&context);
            tokio::spawn(async move { request_slots(&context, &owner, items).await });
        }
        if is_tick {
            wake_queued_in_all_pools(&context);
        }
    }
}

/// An item and the time at which its report was made.
type TimedItem = (CreditItem, TimePoint);

fn reports_by_owner(
    context: &EntryContext,
    live_entries: &[LiveEntry],
) -> BTreeMap<String, Vec<TimedItem>> {
    let now = clock::now();
    let mut reports: BTreeMap<String, Vec<TimedItem>> = BTreeMap::new();
    let mut router = context.router();
    let router = &mut *router;
    for (endpoint, usage) in router.usages.iter_mut() {
        if !usage.credits.needs_report(now) {
            continue;
        }
        let Some(record) = router.registry.get(endpoint) else {
            continue;
        };
        let Some(owner) = owner_of(live_entries, endpoint) else {
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

/// Requests slots from one owner; an empty address means this entry itself.
async fn request_slots(context: &EntryContext, address: &str, items: Vec<TimedItem>) {
    let call = CreditCall {
        entry: context.entry.clone(),
        items: items.iter().map(|(item, _)| item.clone()).collect(),
    };
    let reply = if address.is_empty() {
        lend(context, &call)
    } else {
        let rpc_client = &context.rpc_client;
        match rpc_client
            .call(address, Method::Credit, &call, OWNER_TIMEOUT)
            .await
        {
            Ok(reply) => reply,
            Err(error) => {
                spdlog::debug!(
                    "credit: no grant from the owner at {address}; asking again with the next \
                     report: {error}."
                );
                return;
            }
        }
    };
    let mut router = context.router();
    for ((item, reported_at), grant) in items.into_iter().zip(reply.grants) {
        if let Some(grant) = grant {
            let usage = router.usages.entry(&item.endpoint);
            usage.credits.apply_grant(reported_at, item.life, grant);
        }
    }
    drop(router);
    wake_queued_in_all_pools(context);
}
