//! HTTP server of an entry: requests from callers, announcements from endpoints, the operator API
//! and health checks.

use std::sync::Arc;

use bytes::Bytes;
use hyper::body::Incoming;
use hyper::{Method, Request, Response};
use serde::Serialize;
use serde_json::Value;

use chestnutloft_core::pipe::{
    ParsedRequest, Refusal, RefusalCode, RequestHead, RouterState, parse_request,
};
use chestnutloft_core::state::{CacheEvent, EndpointAnnouncement, MergeOutcome};
use chestnutloft_wire::auth::{bearer_key, matches_any_hash};
use chestnutloft_wire::clock;
use chestnutloft_wire::http::{
    AnyBody, ReadError, header, json_response, read_body, text_response,
};

use crate::chat::{self, ChatRequest};
use crate::context::EntryContext;
use crate::metrics::GaugeValues;
use crate::plain::{self, PlainRequest};
use crate::refusal::refusal_response;

/// Maximum size of an announcement or cache event, in bytes.
const MAX_ANNOUNCEMENT_BYTES: usize = 256 * 1024;
/// Path prefix of requests to plain services.
const SERVICE_PREFIX: &str = "/svc/";
/// Path prefix of the operator API for routing decisions.
const EXPLAIN_PREFIX: &str = "/operator/v1/explain/";
/// Maximum number of versions in one announcement.
const MAX_ANNOUNCED_VERSIONS: usize = 256;

#[derive(Serialize)]
struct AnnounceReply {
    outcome: &'static str,
}

/// Handles one HTTP request.
pub async fn handle(context: Arc<EntryContext>, request: Request<Incoming>) -> Response<AnyBody> {
    let path = request.uri().path();
    match (request.method(), path) {
        (&Method::POST, "/v1/chat/completions") => handle_chat(context, request).await,
        (_, path) if path.starts_with(SERVICE_PREFIX) => handle_plain(context, request).await,
        (&Method::POST, "/endpoint/v1/announce") => handle_announcement(&context, request).await,
        (&Method::POST, "/endpoint/v1/cache-events") => handle_cache_event(&context, request).await,
        (&Method::GET, "/healthz") => text_response(200, "ok\n"),
        (&Method::GET, "/readyz") => handle_readyz(&context),
        (&Method::GET, "/metrics") => text_response(200, metrics_page(&context)),
        (&Method::GET, path) if path.starts_with("/operator/") => {
            handle_operator(&context, &request)
        }
        _ => text_response(404, "not found\n"),
    }
}

fn metrics_page(context: &EntryContext) -> String {
    let gauges = {
        let router = context.router();
        GaugeValues {
            revision: router.plan.revision,
            lease_left: context.lease().remaining(clock::now()),
            waiting: router.waiting(),
            in_flight: router.admission.in_flight(),
            endpoints: router.registry.len(),
        }
    };
    context.metrics.render(&gauges)
}

fn handle_readyz(context: &EntryContext) -> Response<AnyBody> {
    if context.is_ready() {
        text_response(200, "ready\n")
    } else {
        text_response(503, "not ready\n")
    }
}

fn handle_operator(context: &EntryContext, request: &Request<Incoming>) -> Response<AnyBody> {
    let hashes = &context.settings.operator_key_hashes;
    let key = bearer_key(header(request, "authorization"));
    if !hashes.is_empty() && !key.is_some_and(|key| matches_any_hash(key, hashes)) {
        return text_response(401, "the operator key does not fit\n");
    }
    let path = request.uri().path();
    if let Some(id) = path.strip_prefix(EXPLAIN_PREFIX) {
        return match context.decisions.get(id) {
            Some(record) => json_response(200, &record),
            None => text_response(404, format!("no decision about {id} is kept here\n")),
        };
    }
    if path == "/operator/v1/endpoints" {
        let router = context.router();
        let now = clock::now();
        let records: Vec<_> = router.registry.all(now).map(|(record, _)| record).collect();
        return json_response(200, &records);
    }
    text_response(404, "not found\n")
}

fn body_read_refusal(error: &ReadError, limit: usize) -> Refusal {
    match error {
        ReadError::TooLarge => Refusal::not_run(
            RefusalCode::TooLarge,
            format!("the body is larger than {limit} bytes"),
        ),
        ReadError::Cut(reason) => Refusal::not_run(
            RefusalCode::BadRequest,
            format!("the body was cut: {reason}"),
        ),
    }
}

async fn handle_chat(context: Arc<EntryContext>, request: Request<Incoming>) -> Response<AnyBody> {
    match read_chat(&context, request).await {
        Ok(chat) => chat::handle(context, chat).await,
        Err(refusal) => {
            context.metrics.record_refusal(&refusal);
            refusal_response(&refusal)
        }
    }
}

/// Values of the request headers that callers may set.
#[derive(Debug, Default)]
struct CallerHeaders {
    workspace: Option<String>,
    kind: Option<String>,
    session: Option<String>,
    priority: Option<String>,
    deadline_ms: Option<String>,
    idempotency_key: Option<String>,
    key: Option<String>,
}

impl CallerHeaders {
    fn read(request: &Request<Incoming>) -> Self {
        let value = |name| header(request, name).map(str::to_owned);
        Self {
            workspace: value("x-workspace"),
            kind: value("x-kind"),
            session: value("x-session"),
            priority: value("x-priority"),
            deadline_ms: value("x-deadline-ms"),
            idempotency_key: value("idempotency-key"),
            key: bearer_key(header(request, "authorization")).map(str::to_owned),
        }
    }

    fn head(&self) -> RequestHead<'_> {
        RequestHead {
            workspace: self.workspace.as_deref(),
            kind: self.kind.as_deref(),
            session: self.session.as_deref(),
            priority: self.priority.as_deref(),
            deadline_ms: self.deadline_ms.as_deref(),
            idempotency_key: self.idempotency_key.as_deref(),
            ..RequestHead::default()
        }
    }
}

/// Parses a request, checks its workspace key and admits it.
fn admit(
    context: &EntryContext,
    head: &RequestHead<'_>,
    key: Option<&str>,
) -> Result<ParsedRequest, Refusal> {
    context.check_may_start()?;
    let now = clock::now();
    let wall_now = clock::wall_now();
    let mut router = context.router();
    let parsed = parse_request(now, head, &router.view(wall_now), &router.settings.request)?;
    check_key(&router, &parsed, key)?;
    router.admit(now, wall_now, &parsed)?;
    Ok(parsed)
}

fn check_key(
    router: &RouterState,
    parsed: &ParsedRequest,
    key: Option<&str>,
) -> Result<(), Refusal> {
    let workspaces = &router.plan.declaration.workspaces;
    let hashes = match workspaces.get(&parsed.workspace) {
        Some(rule) => rule.key_hashes.as_slice(),
        None => &[],
    };
    if hashes.is_empty() || key.is_some_and(|key| matches_any_hash(key, hashes)) {
        return Ok(());
    }
    let message = format!("the key does not fit workspace {}", parsed.workspace);
    Err(Refusal::not_run(RefusalCode::BadKey, message))
}

async fn read_chat(
    context: &EntryContext,
    request: Request<Incoming>,
) -> Result<ChatRequest, Refusal> {
    let limit = context.settings.body_bytes;
    let headers = CallerHeaders::read(&request);
    let bytes = read_body(request.into_body(), limit)
        .await
        .map_err(|error| body_read_refusal(&error, limit))?;
    let bad_request = |reason: String| Refusal::not_run(RefusalCode::BadRequest, reason);
    let body: Value = serde_json::from_slice(&bytes)
        .map_err(|error| bad_request(format!("the body: {error}")))?;
    let prompt =
        prompt_text(&body).ok_or_else(|| bad_request("field messages is missing".to_owned()))?;
    let head = RequestHead {
        method: "POST",
        path: "/v1/chat/completions",
        model: body["model"].as_str(),
        body: &bytes,
        prompt_bytes: prompt.len(),
        ..headers.head()
    };
    let parsed = admit(context, &head, headers.key.as_deref())?;
    let attempt = context.next_attempt();
    Ok(ChatRequest {
        request_id: context.request_id(&attempt),
        is_streamed: body["stream"].as_bool().unwrap_or(false),
        priority: headers.priority.unwrap_or_else(|| "normal".to_owned()),
        parsed,
        body,
        prompt,
    })
}

/// Concatenates role and content of all messages, each followed by a newline.
fn prompt_text(body: &Value) -> Option<String> {
    let messages = body["messages"].as_array()?;
    let mut prompt = String::new();
    for message in messages {
        prompt.push_str(message["role"].as_str().unwrap_or_default());
        prompt.push('\n');
        prompt.push_str(message["content"].as_str().unwrap_or_default());
        prompt.push('\n');
    }
    Some(prompt)
}

async fn handle_plain(context: Arc<EntryContext>, request: Request<Incoming>) -> Response<AnyBody> {
    match read_plain(&context, request).await {
        Ok(plain) => plain::handle(context, plain).await,
        Err(refusal) => {
            context.metrics.record_refusal(&refusal);
            refusal_response(&refusal)
        }
    }
}

async fn read_plain(
    context: &EntryContext,
    request: Request<Incoming>,
) -> Result<PlainRequest, Refusal> {
    let limit = context.settings.body_bytes;
    let headers = CallerHeaders::read(&request);
    let (parts, body) = request.into_parts();
    let target = parts
        .uri
        .path_and_query()
        .map_or("/", |target| target.as_str());
    let rest = target.strip_prefix(SERVICE_PREFIX).unwrap_or_default();
    let (service, path) = rest.split_once('/').unwrap_or((rest, ""));
    let path = format!("/{path}");
    let bytes: Bytes = read_body(body, limit)
        .await
        .map_err(|error| body_read_refusal(&error, limit))?;
    let head = RequestHead {
        method: parts.method.as_str(),
        path: &path,
        service,
        body: &bytes,
        ..headers.head()
    };
    let parsed = admit(context, &head, headers.key.as_deref())?;
    let pool = RouterState::pool_for(None, parsed.service.as_ref()).ok_or_else(|| {
        Refusal::not_run(RefusalCode::UnknownService, "the path names no service")
    })?;
    let attempt = context.next_attempt();
    Ok(PlainRequest {
        request_id: context.request_id(&attempt),
        attempt,
        pool,
        method: parts.method,
        path,
        headers: parts.headers,
        body: bytes,
        parsed,
    })
}

async fn read_json<T: serde::de::DeserializeOwned>(
    request: Request<Incoming>,
) -> Result<T, Response<AnyBody>> {
    let body = read_body(request.into_body(), MAX_ANNOUNCEMENT_BYTES)
        .await
        .map_err(|error| refusal_response(&body_read_refusal(&error, MAX_ANNOUNCEMENT_BYTES)))?;
    serde_json::from_slice(&body).map_err(|error| {
        let refusal = Refusal::not_run(RefusalCode::BadRequest, error.to_string());
        refusal_response(&refusal)
    })
}

async fn handle_announcement(
    context: &EntryContext,
    request: Request<Incoming>,
) -> Response<AnyBody> {
    let announcement: EndpointAnnouncement = match read_json(request).await {
        Ok(announcement) => announcement,
        Err(refusal) => return refusal,
    };
    if let Some(problem) = validate_announcement(context, &announcement) {
        return refusal_response(&Refusal::not_run(RefusalCode::BadRequest, problem));
    }
    let endpoint = announcement.endpoint.clone();
    let outcome = context.router().announce(clock::now(), announcement);
    let outcome = match outcome {
        MergeOutcome::Added => {
            spdlog::info!("registry: added endpoint {endpoint} on its announcement.");
            "added"
        }
        MergeOutcome::Restarted => {
            spdlog::info!("registry: endpoint {endpoint} restarted with a new incarnation.");
            "reborn"
        }
        MergeOutcome::Updated => "updated",
        MergeOutcome::Stale => "stale",
    };
    json_response(200, &AnnounceReply { outcome })
}

/// Returns why an announcement is rejected, if it is. Endpoints may only announce capacity for
/// services that the plan declares; any service is accepted while no plan has been applied.
fn validate_announcement(
    context: &EntryContext,
    announcement: &EndpointAnnouncement,
) -> Option<String> {
    if announcement.versions.len() > MAX_ANNOUNCED_VERSIONS {
        return Some(format!(
            "at most {MAX_ANNOUNCED_VERSIONS} versions are taken"
        ));
    }
    if announcement
        .address
        .parse::<std::net::SocketAddr>()
        .is_err()
    {
        return Some(format!("address {:?} is no IP:port", announcement.address));
    }
    let router = context.router();
    let declaration = &router.plan.declaration;
    if router.plan.revision > 0 && !declaration.services.contains_key(&announcement.service) {
        return Some(format!("service {} is not declared", announcement.service));
    }
    None
}

async fn handle_cache_event(
    context: &EntryContext,
    request: Request<Incoming>,
) -> Response<AnyBody> {
    let event: CacheEvent = match read_json(request).await {
        Ok(event) => event,
        Err(refusal) => return refusal,
    };
    let is_new = context.router().apply_cache_event(&event);
    let outcome = if is_new { "updated" } else { "stale" };
    json_response(200, &AnnounceReply { outcome })
}
