//! Exchange of endpoint records between entries.

use std::sync::Arc;
use std::time::Duration;

use chestnutloft_core::state::EndpointRecord;
use chestnutloft_core::time::TimePoint;
use chestnutloft_wire::clock;
use chestnutloft_wire::message::{ExchangeCall, ExchangeReply};
use chestnutloft_wire::rpc::Method;

use crate::context::EntryContext;

/// Interval between exchanges.
const EXCHANGE_INTERVAL: Duration = Duration::from_millis(300);
/// Timeout of one exchange call.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(800);

fn age_millis(age: Duration) -> u32 {
    u32::try_from(age.as_millis()).unwrap_or(u32::MAX)
}

fn merge_records(context: &EntryContext, records: Vec<(EndpointRecord, u32)>) {
    let now = clock::now();
    let mut router = context.router();
    for (record, age) in records {
        router.merge(now, record, Duration::from_millis(u64::from(age)));
    }
}

/// Handles an exchange call from another entry.
pub fn handle(context: &EntryContext, call: ExchangeCall) -> ExchangeReply {
    merge_records(context, call.records);
    if !call.wants_all {
        return ExchangeReply::default();
    }
    let now = clock::now();
    let router = context.router();
    let records = router.registry.all(now);
    ExchangeReply {
        records: records
            .map(|(r, age)| (r.clone(), age_millis(age)))
            .collect(),
    }
}

/// Sends updated endpoint records to all other entries until the process ends.
pub async fn run(context: Arc<EntryContext>) {
    let mut interval = tokio::time::interval(EXCHANGE_INTERVAL);
    let mut last_sent_at = TimePoint::ZERO;
    // All records are requested once, from the first live peer.
    let mut has_requested_all = false;
    loop {
        interval.tick().await;
        let now = clock::now();
        let records = updated_records(&context, now, last_sent_at);
        last_sent_at = now;
        let live = context.live_entries().clone();
        for peer in live.iter().filter(|peer| peer.entry != context.entry) {
            let call = ExchangeCall {
                from: context.entry.clone(),
                records: records.clone(),
                wants_all: !has_requested_all,
            };
            if call.records.is_empty() && !call.wants_all {
                continue;
            }
            has_requested_all = true;
            let context = Arc::clone(&context);
            let address = peer.address.clone();
            tokio::spawn(async move { exchange(&context, &address, &call).await });
        }
        for endpoint in context.router().sweep(now) {
            spdlog::info!(
                "registry: removed endpoint {endpoint}: no announcement within the removal timeout."
            );
        }
    }
}

/// Records updated by announcements to this entry after `since`, with their ages in milliseconds.
/// Records received from other entries are not forwarded.
fn updated_records(
    context: &EntryContext,
    now: TimePoint,
    since: TimePoint,
) -> Vec<(EndpointRecord, u32)> {
    let router = context.router();
    let updated_records = router.registry.changed_since(now, since);
    updated_records
        .map(|(record, age)| (record.clone(), age_millis(age)))
        .collect()
}

async fn exchange(context: &EntryContext, address: &str, call: &ExchangeCall) {
    let rpc_client = &context.rpc_client;
    let reply: Result<ExchangeReply, _> = rpc_client
        .call(address, Method::Exchange, call, EXCHANGE_TIMEOUT)
        .await;
    match reply {
        Ok(reply) => merge_records(context, reply.records),
        Err(error) => {
            spdlog::debug!("exchange: no endpoint records exchanged with {address}: {error}.");
        }
    }
}
