//! An entry with a plain wire format in front of endpoints that the tests script, over loopback.

use std::sync::Arc;
use std::time::{Duration, Instant};

use hyper::header::{HeaderMap, TRANSFER_ENCODING};
use hyper::http::{request, response};
use hyper::{Request, Response, StatusCode};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use chestnutloft_core::routing::{
    CallKind, CallerLimits, CopyAnswer, DeclarationUpdate, DirectoryChange, EndpointNotice,
    EndpointPhase, EngineRule, PoolEndpoint, RouteRule, RoutingUpdate, ServiceRule, ServiceShare,
};
use chestnutloft_entry::forward::codec::{
    AttemptHead, CallHead, CallRefusal, EntryCodec, ResponseHead,
};
use chestnutloft_entry::forward::daemon::ForwardDaemon;
use chestnutloft_entry::forward::settings::{CapacitySettings, ForwardSettings};
use chestnutloft_wire::clock;
use chestnutloft_wire::http::{AnyBody, full};

/// What an endpoint does with a call.
#[derive(Clone, Copy, Debug)]
pub enum Script {
    /// Answers after this time.
    Answer(Duration),
    /// Sends this and then nothing more.
    Stall(&'static str),
}

pub const STREAM_HEAD: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
pub const STREAM_WITH_EVENT: &str =
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nf\r\nid: 1\ndata: x\n\n\r\n";

/// What a caller got, and after how long.
#[derive(Clone, Debug)]
pub struct CallerResult {
    pub text: String,
    pub took: Duration,
}

fn read_call(parts: &request::Parts) -> Result<CallHead, CallRefusal> {
    if parts.uri.path() == "/" {
        return Err(CallRefusal::NoRoute);
    }
    Ok(CallHead {
        id: parts.uri.path().to_owned(),
        host: "host".to_owned(),
        ..CallHead::default()
    })
}

fn write_attempt(_headers: &mut HeaderMap, _head: &AttemptHead<'_>) {}

fn read_response(_parts: &response::Parts, _id: &str) -> ResponseHead {
    ResponseHead {
        has_call_id: true,
        is_signed: true,
        ..ResponseHead::default()
    }
}

fn strip_hop_by_hop(headers: &mut HeaderMap) {
    headers.remove(TRANSFER_ENCODING);
}

fn write_refusal(refusal: &CallRefusal, _id: Option<&str>) -> Response<AnyBody> {
    let mut response = Response::new(full(refusal.to_string()));
    *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    response
}

const CODEC: EntryCodec = EntryCodec {
    ready_path: "/ready",
    read_call,
    write_attempt,
    read_response,
    strip_hop_by_hop,
    write_refusal,
    write_copy_order: |_| Request::default(),
    read_copy_answer: |_, _| CopyAnswer::NoRun,
    write_copy_release: |_| Request::default(),
};

/// A route with a target of 1 s for plain calls, or of 200 ms and a target gap of 100 ms for streams.
pub fn route(name: &str, kind: CallKind, priority: u32) -> RouteRule {
    RouteRule {
        name: Arc::from(name),
        host: Arc::from("host"),
        prefix: Arc::from(format!("/{name}/")),
        kind,
        timeout_ms: 5_000,
        target_latency_ms: if kind.is_stream() { 200 } else { 1_000 },
        target_gap_ms: Some(100),
        priority,
        models: Vec::new(),
        shares: vec![ServiceShare {
            service: Arc::from("pool"),
            weight: 1,
        }],
        max_attempts: 2,
        needs_key: false,
    }
}

/// Starts an entry that may open two connections to each endpoint.
pub async fn start_entry(
    is_ordered: bool,
    routes: Vec<RouteRule>,
    scripts: &[Script],
) -> ForwardDaemon {
    let settings = ForwardSettings {
        callers: ([127, 0, 0, 1], 0).into(),
        readiness: ([127, 0, 0, 1], 0).into(),
        capacity: CapacitySettings {
            is_ordered,
            ..CapacitySettings::default()
        },
        ..ForwardSettings::default()
    };
    let entry = ForwardDaemon::start(&settings, CODEC, Arc::new(|| None)).await;
    let entry = entry.expect("the loopback ports are free");
    let mut endpoints = Vec::new();
    for (index, script) in scripts.iter().enumerate() {
        endpoints.push(start_endpoint(index, *script).await);
    }
    let update = RoutingUpdate {
        index: 1,
        declaration: Some(Arc::new(DeclarationUpdate {
            number: 1,
            is_whole: true,
            routes,
            dropped: Vec::new(),
            services: Some(vec![service()]),
            workspaces: None,
            limits: CallerLimits::default(),
        })),
        endpoints,
        ..RoutingUpdate::default()
    };
    let now = clock::now();
    entry.context.state().apply(now, now, update);
    entry.context.has_routes.send_replace(true);
    entry
}

fn service() -> ServiceRule {
    ServiceRule {
        name: Arc::from("pool"),
        health_path: Arc::from("/health"),
        max_connections: 2,
        cold_ms: 0,
        cold_per_s: 0.0,
        models: Vec::new(),
        engine: Some(EngineRule {
            slots: 2,
            event_tokens: 256,
            ..EngineRule::default()
        }),
    }
}

async fn start_endpoint(index: usize, script: Script) -> DirectoryChange {
    let listener = TcpListener::bind("127.0.0.1:0").await;
    let listener = listener.expect("a loopback port is free");
    let address = listener.local_addr().expect("the listener is bound");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(play(stream, script));
        }
    });
    DirectoryChange {
        endpoint: PoolEndpoint {
            notice: EndpointNotice {
                id: Arc::from(format!("endpoint-{index}")),
                born_ms: 1,
                sequence: 1,
                service: Arc::from("pool"),
                address: Arc::from(address.to_string()),
                domain: Arc::from("local"),
                version: Arc::from("v1"),
                slots: 2,
                phase: EndpointPhase::Ready,
                cold_left_ms: 0,
                models: None,
            },
            changed_at: 1,
        },
        cold_left_ms: 0,
    }
}

async fn play(mut stream: TcpStream, script: Script) {
    let mut buffer = [0; 4_096];
    while let Ok(1..) = stream.read(&mut buffer).await {
        let bytes = match script {
            Script::Answer(delay) => {
                tokio::time::sleep(delay).await;
                "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"
            }
            Script::Stall(bytes) => bytes,
        };
        if stream.write_all(bytes.as_bytes()).await.is_err() {
            return;
        }
    }
}

/// Makes a call and reads until the entry closes the connection.
pub async fn call(entry: &ForwardDaemon, path: &str) -> CallerResult {
    let started_at = Instant::now();
    let stream = TcpStream::connect(entry.caller_address).await;
    let mut stream = stream.expect("the entry accepts connections");
    let request = format!("GET {path} HTTP/1.1\r\nhost: host\r\nconnection: close\r\n\r\n");
    let sent = stream.write_all(request.as_bytes()).await;
    sent.expect("the entry reads the call");
    let mut bytes = Vec::new();
    // An aborted stream ends with an error; what came before it counts.
    let _ = stream.read_to_end(&mut bytes).await;
    CallerResult {
        text: String::from_utf8_lossy(&bytes).into_owned(),
        took: started_at.elapsed(),
    }
}
