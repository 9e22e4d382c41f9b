//! A rollout is rolled back. The operator orders the same version again later, with the same duration.
//! Exit status 1 if that rollout, of a good version, was acknowledged and isn't completed in its time.

#[path = "stand.rs"]
mod stand;

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use stand::{ms, Client, Handler, Platform, Worker};

const DURATION_S: u64 = 16;
const CONFIG: &str = r#"{"version":1,"routes":[{"name":"status","host":"shop.example","pathPrefix":"/status/","routeType":"safe","timeoutMs":1200,"targetLatencyMs":150,"priority":2,"service":"orders","maxAttempts":2,"authExempt":false}],"services":[{"name":"orders","healthPath":"/health","maxConns":96,"protocol":"h1","tls":false,"coldStartS":0.0,"coldPerS":0.0}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[{"name":"riders","apiKeys":["key1"],"priority":1}]}"#;

fn state(platform: &Platform) -> String {
    let answer = stand::control(&platform.control, "GET", "/v1/rollouts/orders/get", "", 10);
    answer.map_or_else(String::new, |answer| String::from_utf8_lossy(&answer.body).into_owned())
}

fn order(platform: &Platform) -> bool {
    let body = format!(r#"{{"service":"orders","target":"v2","durationS":{DURATION_S}}}"#);
    let answer = stand::control(&platform.control, "POST", "/v1/rollouts/start", &body, 20);
    let status = answer.map_or(0, |answer| answer.status());
    platform.record.line(format!("operator: rollouts/start {body} answered {status}"));
    status == 200
}

/// Waits until the rollout is no longer running, and returns the last answer.
fn wait_ended(platform: &Platform, limit: Duration) -> String {
    let started = Instant::now();
    loop {
        let text = state(platform);
        platform.record.line(format!("operator: rollouts/get answered {text}"));
        if (!text.is_empty() && !text.contains("running")) || started.elapsed() > limit {
            return text;
        }
        thread::sleep(ms(500));
    }
}

fn main() {
    let case = std::env::args().nth(1).expect("the folder of the case");
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let Some(platform) = Platform::new(&case, 3, 2) else { std::process::exit(2) };
    platform.limit(115);
    platform.start_all();
    let is_bad = Arc::new(AtomicBool::new(has_trouble));
    let (good, bad) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
    let add = |version: &str| -> (Worker, Arc<AtomicBool>) {
        let (is_bad, good, bad) = (Arc::clone(&is_bad), Arc::clone(&good), Arc::clone(&bad));
        let is_new = version == "v2";
        let turn = AtomicU64::new(0);
        let handler: Handler = Arc::new(move |request, conn| {
            let id = request.id();
            thread::sleep(ms(10));
            // Half of a bad version's requests fail.
            let fails = is_new && is_bad.load(Ordering::Relaxed) && turn.fetch_add(1, Ordering::Relaxed) % 2 == 0;
            if is_new {
                if fails { &bad } else { &good }.fetch_add(1, Ordering::Relaxed);
            }
            let status = if fails { "500 Internal Server Error" } else { "200 OK" };
            conn.write(&format!(
                "HTTP/1.1 {status}\r\nX-Request-Id: {id}\r\nX-Response-Seal: s.{id}\r\nContent-Length: 2\r\n\r\nok"
            ))?;
            Ok(true)
        });
        platform.add_versioned("orders", version, 6, handler)
    };
    for _ in 0..3 {
        add("v1");
    }
    if !platform.put_config(CONFIG) || !platform.wait_ready() {
        platform.end(2);
    }
    thread::sleep(ms(2000));
    let is_over = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..4_usize)
        .map(|number| {
            let (platform, is_over) = (Arc::clone(&platform), Arc::clone(&is_over));
            thread::spawn(move || {
                let mut client = Client::new(platform.front[number % 2]);
                let mut count = 0_u64;
                while !is_over.load(Ordering::Relaxed) {
                    count += 1;
                    let id = format!("{number:04x}{count:012x}");
                    let headers = [
                        ("X-Request-Id", id.as_str()),
                        ("X-Deadline-Ms", "2500"),
                        ("Authorization", "Bearer key1"),
                    ];
                    client.send("GET", "/status/1", &headers, "", ms(2500));
                    thread::sleep(ms(15));
                }
            })
        })
        .collect();
    thread::sleep(ms(1000));
    let first: Vec<_> = (0..2).map(|_| add("v2")).collect();
    thread::sleep(ms(500));
    if !order(&platform) {
        platform.end(2);
    }
    let first_end = wait_ended(&platform, Duration::from_secs(DURATION_S + 4));
    if has_trouble != first_end.contains("rolled_back") {
        platform.record.line("the first rollout didn't end as the case needs");
        platform.end(2);
    }
    if has_trouble {
        // The workers of the bad version leave some seconds later.
        thread::sleep(ms(3000));
        for (worker, stop) in &first {
            stop.store(true, Ordering::Relaxed);
            let body = format!(r#"{{"born":{}}}"#, worker.born);
            let path = format!("/v1/instances/{}/deregister", worker.id);
            let answer = stand::control(&platform.control, "POST", &path, &body, 20);
            platform.record.line(format!("worker {}: deregister answered {}", worker.id, answer.map_or(0, |a| a.status())));
        }
        // Longer than `ackMs` (4 s), in which the first order may have been sent again.
        thread::sleep(ms(8000));
        is_bad.store(false, Ordering::Relaxed);
        for _ in 0..2 {
            add("v2");
        }
        thread::sleep(ms(1000));
    }
    good.store(0, Ordering::Relaxed);
    bad.store(0, Ordering::Relaxed);
    let is_acked = order(&platform);
    let ordered = Instant::now();
    let mut last = String::new();
    while ordered.elapsed() < Duration::from_secs(DURATION_S + 1) {
        last = state(&platform);
        platform.record.line(format!("operator: rollouts/get answered {last}"));
        thread::sleep(ms(1000));
    }
    is_over.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    let text = format!(
        "the second order: acknowledged {is_acked}; state after {} s: {last}; answers of v2 since: {} good, {} bad",
        DURATION_S + 1, good.load(Ordering::Relaxed), bad.load(Ordering::Relaxed)
    );
    platform.record.line(&text);
    println!("{text}");
    platform.end(if !is_acked { 2 } else { i32::from(!last.contains("completed")) });
}
