//! Serves callers: from the head of a request to the answer.

use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::FutureExt;
use hibiscusrail_fleet::objects::{Deployment, EngineFacts, Repeat, Route};
use hibiscusrail_fleet::placement::name_hash;
use hibiscusrail_fleet::quota::WorkspaceHash;
use hibiscusrail_fleet::{Ask, Event, event};
use hibiscusrail_net::server::Handler;
use hibiscusrail_net::{Body, full};
use http::request::Parts;
use http::{HeaderMap, HeaderValue, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;

use crate::answer::{self, Account};
use crate::outgoing::Outgoing;
use crate::refusal;
use crate::shell::{Next, Shell, Verdict, millis};
use crate::stop;
use crate::upstream::{self, Plan, Reply, Whole};

/// Wait named to callers while there is no configuration.
const NOT_READY_WAIT: Duration = Duration::from_millis(500);
/// Time that a caller without a deadline waits.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(30);
/// Least time without a byte after which a repeatable request is tried elsewhere.
const LEAST_PATIENCE: Duration = Duration::from_millis(600);
/// Part of the target that such a request waits besides what was expected.
const PATIENCE_TARGETS: f64 = 1.2;

/// Returns the handler of the callers' port.
#[must_use]
pub fn handler(shell: &Rc<Shell>) -> Handler {
    let shell = Rc::clone(shell);
    Rc::new(move |request| {
        let shell = Rc::clone(&shell);
        async move {
            let id = request.headers().get(&shell.shape().request_id).cloned();
            let mut answer = serve(&shell, request).await;
            if let Some(id) = id {
                let name = shell.shape().request_id.clone();
                answer.headers_mut().insert(name, id);
            }
            // A refused caller comes back on a new connection.
            let refused = answer.status() == StatusCode::SERVICE_UNAVAILABLE;
            if shell.is_stopping() || (refused && shell.is_crowded()) {
                let close = HeaderValue::from_static("close");
                answer.headers_mut().insert(header::CONNECTION, close);
            }
            answer
        }
        .boxed_local()
    })
}

/// What a request's head and the configuration say of it.
struct Routed {
    route: Route,
    service: String,
    workspace: Option<String>,
    body_bytes: usize,
    engine: Option<EngineFacts>,
}

/// A request that is refused before a server was asked for.
struct Early {
    status: StatusCode,
    reason: &'static str,
}

async fn serve(shell: &Rc<Shell>, request: Request<Incoming>) -> Response<Body> {
    let started = shell.now();
    let (parts, body) = request.into_parts();
    let routed = shell.with_fleet(|f| {
        let deployment = f.orders().deployment.as_ref();
        let deployment = deployment.ok_or(Early {
            status: StatusCode::SERVICE_UNAVAILABLE,
            reason: "no configuration yet",
        })?;
        find_route(shell, deployment, &parts)
    });
    let routed = match routed {
        Ok(routed) if !stop::has_time(shell, routed.route.stream) => {
            let early = Early {
                status: StatusCode::SERVICE_UNAVAILABLE,
                reason: "the router is stopping",
            };
            return refuse_early(shell, &parts, &early);
        }
        Ok(routed) => routed,
        Err(early) => return refuse_early(shell, &parts, &early),
    };
    let body = match Limited::new(body, routed.body_bytes).collect().await {
        Ok(body) => body.to_bytes(),
        Err(error) => {
            let early = body_error(error.as_ref());
            return refuse_early(shell, &parts, &early);
        }
    };
    submit(shell, started, &parts, body, routed).await
}

fn body_error(error: &(dyn std::error::Error + 'static)) -> Early {
    if error.is::<LengthLimitError>() {
        Early {
            status: StatusCode::PAYLOAD_TOO_LARGE,
            reason: "the body is too large",
        }
    } else {
        Early {
            status: StatusCode::BAD_REQUEST,
            reason: "the body broke off",
        }
    }
}

fn refuse_early(shell: &Shell, parts: &Parts, early: &Early) -> Response<Body> {
    let revision = shell.with_fleet(|f| f.orders_revision().0);
    log::info!(
        request = text(&parts.headers, &shell.shape().request_id),
        status = early.status.as_u16(),
        reason = early.reason,
        revision = revision;
        "request_refused"
    );
    let status = early.status.as_str();
    shell.metrics().ended("", "NotRun", status, Duration::ZERO);
    let mut answer = refusal::plain(early.status, early.reason);
    if early.status == StatusCode::SERVICE_UNAVAILABLE {
        refusal::set_retry_after(&mut answer, NOT_READY_WAIT);
    }
    answer
}

/// Returns the bytes of a request's target and headers.
fn head_bytes(parts: &Parts) -> usize {
    let target = parts.uri.path_and_query().map_or(0, |p| p.as_str().len());
    let lines = parts.headers.iter();
    target
        + lines
            .map(|(n, v)| n.as_str().len() + v.len())
            .sum::<usize>()
}

fn find_route(shell: &Shell, deployment: &Deployment, parts: &Parts) -> Result<Routed, Early> {
    if head_bytes(parts) > deployment.limits.head_bytes {
        return Err(Early {
            status: StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            reason: "the head is too large",
        });
    }
    let host = parts
        .uri
        .authority()
        .map_or_else(|| text(&parts.headers, &header::HOST), |a| a.as_str());
    let route = deployment.route(host, parts.uri.path()).ok_or(Early {
        status: StatusCode::NOT_FOUND,
        reason: "no route",
    })?;
    let workspace = if route.public || deployment.workspaces.is_empty() {
        None
    } else {
        let held = bearer(&parts.headers).and_then(|key| deployment.workspace(key));
        let held = held.ok_or(Early {
            status: StatusCode::UNAUTHORIZED,
            reason: "unknown API key",
        })?;
        Some(held.name.clone())
    };
    let id = text(&parts.headers, &shell.shape().request_id);
    let service = pick(route, id);
    let engine = deployment
        .services
        .get(&service)
        .and_then(|s| s.engine.clone());
    Ok(Routed {
        route: route.clone(),
        service,
        workspace,
        body_bytes: deployment.limits.body_bytes,
        engine,
    })
}

/// Returns the key of a bearer authorization.
fn bearer(headers: &HeaderMap) -> Option<&str> {
    let value = headers.get(header::AUTHORIZATION)?.to_str().ok()?;
    let (scheme, key) = value.split_once(' ')?;
    scheme.eq_ignore_ascii_case("bearer").then_some(key.trim())
}

/// Picks a target of the route by weight, from the request's id.
fn pick(route: &Route, id: &str) -> String {
    let total: u32 = route.targets.iter().map(|t| t.weight).sum();
    let mut at = name_hash(id) % total.max(1);
    for target in &route.targets {
        if at < target.weight {
            return target.service.clone();
        }
        at -= target.weight;
    }
    route
        .targets
        .first()
        .map(|t| t.service.clone())
        .unwrap_or_default()
}

fn text<'a>(headers: &'a HeaderMap, name: &http::HeaderName) -> &'a str {
    headers
        .get(name)
        .and_then(|v| v.to_str().ok())
        .unwrap_or_default()
}

/// Returns how long the caller waits.
fn caller_time(shell: &Shell, headers: &HeaderMap) -> Duration {
    text(headers, &shell.shape().deadline)
        .parse()
        .map_or(DEFAULT_DEADLINE, Duration::from_millis)
}

async fn submit(
    shell: &Rc<Shell>,
    started: Instant,
    parts: &Parts,
    body: Bytes,
    routed: Routed,
) -> Response<Body> {
    let Routed {
        route,
        service,
        workspace,
        engine,
        ..
    } = routed;
    let deadline = started + caller_time(shell, &parts.headers).min(route.timeout);
    let prompt = engine
        .is_some()
        .then(|| (shell.shape().prompt)(&parts.headers))
        .flatten();
    let repeatable = route.repeat == Repeat::Idempotent || route.resumable;
    let patience = route.target.mul_f64(PATIENCE_TARGETS).max(LEAST_PATIENCE);
    let plan = Plan {
        outgoing: Rc::new(Outgoing::new(
            shell.shape(),
            parts,
            body,
            workspace.as_deref(),
            deadline,
        )),
        stream: route.stream,
        event_tokens: engine.map_or(0, |e| e.event_tokens),
        repeatable,
        patience: repeatable.then_some(patience),
    };
    let key = shell.next_request();
    let request = text(&parts.headers, &shell.shape().request_id);
    let name = workspace.as_deref().unwrap_or_default();
    let account = Account::new(shell, key, request, name, &service, started);
    let next = shell.event(Event::Submit(Ask {
        key,
        workspace: workspace.map(|w| WorkspaceHash(u64::from(name_hash(&w)))),
        service,
        prompt,
        target: started + route.target,
        deadline,
        repeat: route.repeat,
        resumable: route.resumable,
        attempts: route.attempts,
    }));
    run(shell, plan, account, next).await
}

/// Tries servers until one has answered or the request is given up.
async fn run(
    shell: &Rc<Shell>,
    plan: Plan,
    mut account: Account,
    mut next: Option<Next>,
) -> Response<Body> {
    let mut failed = None;
    loop {
        let target = match next {
            Some(Next::Send(target)) => target,
            Some(Next::GiveUp(verdict)) => {
                account.given_up(&verdict);
                return give_up(shell, &plan, &verdict, failed);
            }
            // The reducer decides on each request at once.
            None => return refusal::plain(StatusCode::BAD_GATEWAY, "no decision"),
        };
        account.attempt(&target.id);
        let failure = match upstream::attempt(shell, &plan, &target, None).await {
            Ok(Reply::Whole(whole)) => {
                account.first_byte();
                account.answered();
                return whole_answer(whole);
            }
            Ok(Reply::Stream(opened)) => {
                account.first_byte();
                shell.event(Event::FirstByte(account.key()));
                let mut answer = Response::new(full(Bytes::new()));
                *answer.status_mut() = opened.status;
                answer.headers_mut().clone_from(&opened.headers);
                *answer.body_mut() = answer::pass_on(shell, plan, account, opened);
                return answer;
            }
            Err(failure) => failure,
        };
        next = Some(account.failed(&failure));
        failed = failure.answer.or(failed);
    }
}

fn whole_answer(whole: Whole) -> Response<Body> {
    let mut answer = Response::new(full(whole.body));
    *answer.status_mut() = whole.status;
    *answer.headers_mut() = whole.headers;
    answer
}

/// Returns the final answer to a request without success: the server's own, or a refusal.
fn give_up(
    shell: &Shell,
    plan: &Plan,
    verdict: &Verdict,
    failed: Option<Box<Whole>>,
) -> Response<Body> {
    if let (event::Execution::Failed, Some(whole)) = (verdict.execution, failed) {
        return whole_answer(*whole);
    }
    let left = plan.outgoing.left(shell.now());
    log::debug!(left_ms = millis(left); "refusal_sent");
    refusal::given_up(verdict.reason, verdict.execution, verdict.retry_after, left)
}
