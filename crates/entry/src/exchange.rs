//! Exchange of endpoint records between entries.

use std::sync::Arc;
use std::time::Duration;

use chestnutloft_core::state::EndpointRecord;
use chestnutloft_core::time::TimePoint;
use chestnutloft_wire::clock;
use chestnutloft_wire::message::{ExchangeCall, ExchangeReply};
use chestnutloft_wire::rpc::Method;

use crate::context::EntryContext;

/// Time between two exchanges.
const EXCHANGE_INTERVAL: Duration = Duration::from_millis(300);
/// Time for another entry to answer.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(800);

fn millis(span: Duration) -> u32 {
    u32::try_from(span.as_millis()).unwrap_or(u32::MAX)
}

fn merge_all(context: &EntryContext, records: Vec<(EndpointRecord, u32)>) {
    let now = clock::now();
    let mut router = context.router();
    for (record, age) in records {
        router.merge(now, record, Duration::from_millis(u64::from(age)));
    }
}

/// Answers another entry.
pub fn answer(context: &EntryContext, call: ExchangeCall) -> ExchangeReply {
    merge_all(context, call.records);
    if !call.wants_all {
        return ExchangeReply::default();
    }
    let now = clock::now();
    let router = context.router();
    let records = router.registry.all(now);
    ExchangeReply {
        records: records.map(|(r, age)| (r.clone(), millis(age))).collect(),
    }
}

/// Sends what was heard to all other entries until the process ends.
pub async fn run(context: Arc<EntryContext>) {
    let mut interval = tokio::time::interval(EXCHANGE_INTERVAL);
    let mut sent_until = TimePoint::ZERO;
    let mut has_all = false;
    loop {
        interval.tick().await;
        let now = clock::now();
        let records = news(&context, now, sent_until);
        sent_until = now;
        let live = context.live().clone();
        for peer in live.iter().filter(|peer| peer.entry != context.entry) {
            let call = ExchangeCall {
                from: context.entry.clone(),
                records: records.clone(),
                wants_all: !has_all,
            };
            if call.records.is_empty() && !call.wants_all {
                continue;
            }
            has_all = true;
            let context = Arc::clone(&context);
            let address = peer.address.clone();
            tokio::spawn(async move { exchange(&context, &address, &call).await });
        }
        for gone in context.router().sweep(now) {
            spdlog::info!("registry: endpoint {gone} is forgotten.");
        }
    }
}

/// What was learnt here since the last exchange. Records from other entries are not sent on.
fn news(context: &EntryContext, now: TimePoint, since: TimePoint) -> Vec<(EndpointRecord, u32)> {
    let router = context.router();
    let news = router.registry.changed_since(now, since);
    news.map(|(record, age)| (record.clone(), millis(age)))
        .collect()
}

async fn exchange(context: &EntryContext, address: &str, call: &ExchangeCall) {
    let caller = &context.caller;
    let reply: Result<ExchangeReply, _> = caller
        .call(address, Method::Exchange, call, EXCHANGE_TIMEOUT)
        .await;
    match reply {
        Ok(reply) => merge_all(context, reply.records),
        Err(error) => spdlog::debug!("exchange: {error}."),
    }
}
