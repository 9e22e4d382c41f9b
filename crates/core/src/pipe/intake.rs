//! First stage: parses and validates requests.

use std::str::FromStr;
use std::time::Duration;

use super::refusal::{Refusal, RefusalCode};
use crate::hash::content_hash;
use crate::ids::{KindId, ServiceId, VersionId, WorkspaceId};
use crate::plan::{PlanView, ServiceKind};
use crate::time::TimePoint;

/// Priority class of a request; higher classes are served first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RequestPriority {
    /// Interactive: someone is waiting for the answer.
    High,
    /// Default.
    #[default]
    Normal,
    /// Background work that can wait.
    Low,
}

impl FromStr for RequestPriority {
    type Err = ();

    fn from_str(text: &str) -> Result<Self, ()> {
        match text {
            "high" => Ok(Self::High),
            "normal" => Ok(Self::Normal),
            "low" => Ok(Self::Low),
            _ => Err(()),
        }
    }
}

/// Parts of an HTTP request that the pipeline needs, not yet validated.
#[derive(Clone, Copy, Debug, Default)]
pub struct RequestHead<'a> {
    /// HTTP method.
    pub method: &'a str,
    /// Path after the service's prefix.
    pub path: &'a str,
    /// Service named in the path; empty for the chat completions API.
    pub service: &'a str,
    /// `x-workspace`.
    pub workspace: Option<&'a str>,
    /// `x-kind`.
    pub kind: Option<&'a str>,
    /// `x-session`.
    pub session: Option<&'a str>,
    /// `x-priority`.
    pub priority: Option<&'a str>,
    /// `x-deadline-ms`.
    pub deadline_ms: Option<&'a str>,
    /// `idempotency-key`.
    pub idempotency_key: Option<&'a str>,
    /// `model` of a chat completions request.
    pub model: Option<&'a str>,
    /// Body.
    pub body: &'a [u8],
    /// Length of the prompt text of a chat completions request, in bytes.
    pub prompt_bytes: usize,
}

/// Limits and defaults of requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestSettings {
    /// Deadline of a request that names none.
    pub default_deadline: Duration,
    /// Upper bound of a request's deadline.
    pub max_deadline: Duration,
    /// Maximum length of a session name and of an idempotency key, in bytes.
    pub max_name_bytes: usize,
    /// Kind of a request that names none.
    pub default_kind: &'static str,
    /// Average number of bytes of prompt text per token.
    pub bytes_per_token: usize,
}

impl Default for RequestSettings {
    fn default() -> Self {
        Self {
            default_deadline: Duration::from_mins(2),
            max_deadline: Duration::from_mins(15),
            max_name_bytes: 256,
            default_kind: "default",
            bytes_per_token: 4,
        }
    }
}

/// A parsed and validated request.
#[derive(Clone, Debug, PartialEq)]
pub struct ParsedRequest {
    /// Workspace of the caller.
    pub workspace: WorkspaceId,
    /// Plain service that is called; `None` if a model version answers.
    pub service: Option<ServiceId>,
    /// Kind of request.
    pub kind: KindId,
    /// Name of the session that the request belongs to.
    pub session: Option<String>,
    /// Version that the caller asked for.
    pub requested_version: Option<VersionId>,
    /// Model that the caller asked for, in any version.
    pub requested_model: Option<String>,
    /// Priority class.
    pub priority: RequestPriority,
    /// When the request arrived.
    pub arrived: TimePoint,
    /// When the caller stops waiting.
    pub deadline: TimePoint,
    /// Idempotency key.
    pub idempotency_key: Option<String>,
    /// Whether the request can safely run more than once.
    pub is_idempotent: bool,
    /// Hash of method, path and body, to detect the reuse of an idempotency key.
    pub fingerprint: u128,
    /// Estimated number of prompt tokens.
    pub input_tokens: u64,
}

/// Parses and validates a request.
///
/// # Errors
/// [`Refusal`] that describes the first problem with the request.
pub fn parse_request(
    now: TimePoint,
    head: &RequestHead<'_>,
    plan: &PlanView<'_>,
    settings: &RequestSettings,
) -> Result<ParsedRequest, Refusal> {
    let workspace = parse_workspace(head, plan)?;
    let service = parse_service(head, plan)?;
    let (requested_version, requested_model) = parse_model(head, &workspace, plan)?;
    let is_idempotent = service
        .as_ref()
        .and_then(|id| plan.service(id))
        .is_none_or(|rule| rule.is_idempotent(head.method, head.path));
    Ok(ParsedRequest {
        kind: parse_id("x-kind", head.kind.unwrap_or(settings.default_kind))?,
        session: parse_name("x-session", head.session, settings)?,
        priority: parse_priority(head)?,
        arrived: now,
        deadline: now + parse_deadline(head, settings)?,
        idempotency_key: parse_name("idempotency-key", head.idempotency_key, settings)?,
        fingerprint: fingerprint(head),
        input_tokens: (head.prompt_bytes / settings.bytes_per_token) as u64,
        workspace,
        service,
        requested_version,
        requested_model,
        is_idempotent,
    })
}

fn bad_request(message: String) -> Refusal {
    Refusal::not_run(RefusalCode::BadRequest, message)
}

fn parse_id<T: FromStr<Err = crate::ids::IdError>>(what: &str, text: &str) -> Result<T, Refusal> {
    text.parse()
        .map_err(|error| bad_request(format!("{what}: {error}")))
}

fn parse_workspace(head: &RequestHead<'_>, plan: &PlanView<'_>) -> Result<WorkspaceId, Refusal> {
    let text = head.workspace.ok_or_else(|| {
        Refusal::not_run(RefusalCode::NoWorkspace, "header x-workspace is missing")
    })?;
    let workspace: WorkspaceId = parse_id("x-workspace", text)?;
    if plan.workspace(&workspace).is_none() {
        return Err(Refusal::not_run(
            RefusalCode::UnknownWorkspace,
            format!("workspace {workspace} is not declared"),
        ));
    }
    Ok(workspace)
}

fn parse_service(
    head: &RequestHead<'_>,
    plan: &PlanView<'_>,
) -> Result<Option<ServiceId>, Refusal> {
    if head.service.is_empty() {
        return Ok(None);
    }
    let service: ServiceId = parse_id("service", head.service)?;
    match plan.service(&service) {
        Some(rule) if rule.kind == ServiceKind::Plain => Ok(Some(service)),
        _ => Err(Refusal::not_run(
            RefusalCode::UnknownService,
            format!("{service} is no declared plain service"),
        )),
    }
}

type RequestedModel = (Option<VersionId>, Option<String>);

fn parse_model(
    head: &RequestHead<'_>,
    workspace: &WorkspaceId,
    plan: &PlanView<'_>,
) -> Result<RequestedModel, Refusal> {
    match head.model {
        None | Some("" | "auto") => Ok((None, None)),
        Some(text) if text.contains('@') => {
            let version: VersionId = parse_id("model", text)?;
            check_version_allowed(&version, workspace, plan)?;
            Ok((Some(version), None))
        }
        Some(model) => Ok((None, Some(model.to_owned()))),
    }
}

fn check_version_allowed(
    version: &VersionId,
    workspace: &WorkspaceId,
    plan: &PlanView<'_>,
) -> Result<(), Refusal> {
    if !plan.is_allowed(workspace, version) {
        return Err(Refusal::not_run(
            RefusalCode::VersionNotAllowed,
            format!("workspace {workspace} may not use {version}"),
        ));
    }
    Ok(())
}

fn parse_priority(head: &RequestHead<'_>) -> Result<RequestPriority, Refusal> {
    let Some(text) = head.priority else {
        return Ok(RequestPriority::default());
    };
    text.parse()
        .map_err(|()| bad_request(format!("x-priority is {text:?}; write high, normal or low")))
}

fn parse_deadline(head: &RequestHead<'_>, settings: &RequestSettings) -> Result<Duration, Refusal> {
    let Some(text) = head.deadline_ms else {
        return Ok(settings.default_deadline);
    };
    let millis: u64 = text.parse().map_err(|_| {
        bad_request(format!(
            "x-deadline-ms is {text:?}; write whole milliseconds"
        ))
    })?;
    Ok(Duration::from_millis(millis).min(settings.max_deadline))
}

fn parse_name(
    what: &str,
    text: Option<&str>,
    settings: &RequestSettings,
) -> Result<Option<String>, Refusal> {
    match text {
        Some("") => Err(bad_request(format!("{what} is empty"))),
        Some(name) if name.len() > settings.max_name_bytes => Err(bad_request(format!(
            "{what} has {} bytes, at most {} are allowed",
            name.len(),
            settings.max_name_bytes
        ))),
        other => Ok(other.map(str::to_owned)),
    }
}

fn fingerprint(head: &RequestHead<'_>) -> u128 {
    let mut text = format!("{} {}\u{0}", head.method, head.path).into_bytes();
    text.extend_from_slice(head.body);
    content_hash(&text)
}
