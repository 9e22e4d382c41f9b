//! A configuration with many routes is changed some hundred times. The platform kills a process that
//! uses more than 256 MB, and starts it again. Exit status 1 if on half of the core processes ended by
//! themselves three times each.

#[path = "stand.rs"]
mod stand;

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use stand::{ms, Platform};

const CORE: usize = 5;
/// Limit of a core machine of the site.
const MEMORY_MB: u64 = 256;
/// Routes that `big_config` adds at once, and how often it comes.
const MORE_ROUTES: usize = 350;
const GROWTHS: usize = 9;
/// A storm: a change each 80 ms for 2 s, then a pause.
const GAP: Duration = Duration::from_millis(80);
const STORM_CHANGES: usize = 25;
const PAUSE: Duration = Duration::from_millis(300);
const MAX_CHANGES: usize = 999;
const LENGTH: Duration = Duration::from_secs(100);

fn config(version: u64, more: usize) -> String {
    let route = |name: String, prefix: String, timeout: u64| {
        format!(
            r#"{{"name":"{name}","host":"shop.example","pathPrefix":"{prefix}","routeType":"safe","timeoutMs":{timeout},"targetLatencyMs":150,"priority":2,"service":"orders","maxAttempts":2,"authExempt":false,"sticky":false,"resumable":false}}"#
        )
    };
    let mut routes = vec![route("status".into(), "/status/".into(), 1200 + version % 50)];
    routes.extend((0..more).map(|n| route(format!("r-more{n:05}"), format!("/more{n:05}/x/"), 1200)));
    format!(
        r#"{{"version":{version},"routes":[{}],"services":[{{"name":"orders","healthPath":"/health","maxConns":96,"protocol":"h1","tls":false,"coldStartS":0.0,"coldPerS":0.0}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},"tenants":[{{"name":"riders","apiKeys":["key1"],"priority":1}}]}}"#,
        routes.join(",")
    )
}

fn main() {
    let case = std::env::args().nth(1).expect("the folder of the case");
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let Some(platform) = Platform::new(&case, CORE, 1) else { std::process::exit(2) };
    platform.limit(116);
    platform.start_all();
    if !platform.put_config(&config(1, 0)) || !platform.wait_ready() {
        platform.end(2);
    }
    thread::sleep(ms(2000));
    let ends = Arc::new(Mutex::new(BTreeMap::<String, u32>::new()));
    let is_over = Arc::new(AtomicBool::new(false));
    let watch = {
        let (platform, ends, is_over) = (Arc::clone(&platform), Arc::clone(&ends), Arc::clone(&is_over));
        thread::spawn(move || watch_memory(&platform, &ends, &is_over))
    };
    let has_broken = |ends: &BTreeMap<String, u32>| ends.values().filter(|count| **count >= 3).count() * 2 >= CORE;
    let started = Instant::now();
    let (mut version, mut acked) = (1, 0);
    'storms: loop {
        for _ in 0..STORM_CHANGES {
            if started.elapsed() > LENGTH || acked >= MAX_CHANGES || has_broken(&ends.lock().unwrap()) {
                break 'storms;
            }
            version += 3;
            let growths = if has_trouble { GROWTHS.min(1 + acked / 5) } else { 0 };
            let body = config(version, growths * MORE_ROUTES);
            let sent = Instant::now();
            let answer = stand::control(&platform.control, "POST", "/v1/config/put", &body, 30);
            let status = answer.map_or(0, |answer| answer.status());
            let took = sent.elapsed().as_millis();
            platform.record.line(format!("operator: version {version}, {} bytes, answered {status} after {took} ms", body.len()));
            acked += usize::from(status == 200);
            thread::sleep(GAP.saturating_sub(sent.elapsed()));
        }
        thread::sleep(PAUSE);
    }
    is_over.store(true, Ordering::Relaxed);
    let _ = watch.join();
    let ends = ends.lock().unwrap().clone();
    let text = format!("{acked} changes acknowledged in {:.0} s; ends by themselves: {ends:?}", started.elapsed().as_secs_f64());
    platform.record.line(&text);
    println!("{text}");
    if acked < 100 {
        platform.end(2);
    }
    platform.end(i32::from(has_broken(&ends)));
}

/// Kills core processes over the memory limit, as the platform does, and starts ended ones again.
fn watch_memory(platform: &Arc<Platform>, ends: &Mutex<BTreeMap<String, u32>>, is_over: &AtomicBool) {
    let mut peaks = BTreeMap::<String, u64>::new();
    let mut looks = 0_u32;
    while !is_over.load(Ordering::Relaxed) {
        thread::sleep(ms(50));
        looks += 1;
        for number in 1..=CORE {
            let name = format!("core-{number}");
            let used = platform.memory_mb(&name);
            let peak = peaks.entry(name.clone()).or_default();
            *peak = (*peak).max(used);
            if used > MEMORY_MB {
                platform.record.line(format!("platform: {name} uses {used} MB, over the limit of {MEMORY_MB} MB"));
                platform.signal(&name, "KILL");
                thread::sleep(ms(20));
            }
            if let Some(status) = platform.ended(&name) {
                *ends.lock().unwrap().entry(name.clone()).or_default() += 1;
                platform.record.line(format!("platform: {name} has ended: {status}; it starts again"));
                let platform = Arc::clone(platform);
                platform.forget(&name);
                thread::spawn(move || {
                    thread::sleep(ms(500));
                    platform.start(&name, false);
                });
            }
        }
        if looks % 20 == 0 {
            let used: Vec<u64> = (1..=CORE).map(|n| platform.memory_mb(&format!("core-{n}"))).collect();
            platform.record.line(format!("platform: memory of the core in MB: {used:?}"));
        }
    }
    platform.record.line(format!("platform: peak memory in MB: {peaks:?}"));
}
