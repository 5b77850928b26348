//! One attempt at a server, up to the head of its response.

use std::{
    sync::{self, atomic},
    time,
};

use mustardshed::{
    core::{
        forward::{head, placement, response_check},
        ids,
    },
    platform::headers,
};

use crate::{
    forward::{cx::server_reports::Symptom, dial, exchange, job, reservation, upstream},
    log::{self, event},
};

/// Shortest silence after which a server counts as unreachable and is ejected for a while.
const MIN_UNREACHABLE_SILENCE: time::Duration = time::Duration::from_secs(1);

/// Why an attempt gave no response to pass on.
#[derive(Debug)]
pub(super) enum Failure {
    /// The server did not run the request.
    NotRun {
        /// Reason for the log.
        reason: String,
        /// Whether the server received the request, so that a further attempt counts as a retry.
        has_arrived: bool,
    },
    /// It is not known whether the request has run.
    Unknown(upstream::Broken),
}

impl Failure {
    fn not_run(reason: impl ToString) -> Self {
        Self::NotRun {
            reason: reason.to_string(),
            has_arrived: false,
        }
    }
}

/// A server's response whose head has arrived.
#[derive(Debug)]
pub(super) struct Response {
    pub(super) parts: http::response::Parts,
    pub(super) body: upstream::ResponseBody,
    /// Guards that must live until the body has been read.
    pub(super) guards: Guards,
    /// Longest wait for the first event, if the response is a stream.
    pub(super) first_event_timeout: time::Duration,
}

/// Guards that must live until a response has been read.
#[derive(Debug)]
pub(super) struct Guards {
    pub(super) job: job::JobGuard,
    pub(super) server: ids::BackendServerId,
    pub(super) connection_task: upstream::ConnectionTask,
    reservations: Vec<reservation::Reservation>,
}

impl Guards {
    /// Records an event of the response.
    pub(super) fn record_event(&mut self) {
        self.job.record_event();
        for reservation in &self.reservations {
            reservation.record_event();
        }
    }
}

/// Sends the request to the server where it was placed; `is_sent` is set once a byte of it may have
/// left this process.
///
/// # Errors
///
/// Returns whether the request has not run there, or may have run.
pub(super) async fn run(
    req: &exchange::Admitted,
    placed: &placement::Placed,
    job: job::JobGuard,
    last_event: Option<u64>,
    timeout: time::Duration,
    is_sent: &atomic::AtomicBool,
) -> Result<Response, Failure> {
    let placed_at = req.cx.now();
    let address = address(req, &placed.primary)?;
    let (helpers, reservations) = reserve(req, placed, &address, &job).await?;
    let connection = match dial::connect(&req.cx, &placed.primary, &address).await {
        Ok(connection) => connection,
        Err(e) => {
            req.cx.eject_unreached(&placed.primary, &e);
            return Err(Failure::not_run(e));
        }
    };
    // The server may have shut down, or asked for back-off, while the connection was opened.
    let now = req.cx.now();
    if req.cx.state().usable(&placed.primary, now).is_none() {
        return Err(Failure::not_run("the server accepts no requests"));
    }
    log_sent_to_cold(req, &placed.primary, now.saturating_sub(placed_at), now);
    let sent = head::UpstreamHead {
        server: &placed.primary,
        account: req.account.as_ref().map(|account| account.name.as_str()),
        time_left: req.time_left(now),
        last_event_id: last_event,
        helpers: &helpers,
        priority: req.priority(),
    };
    let outgoing = outgoing(req, &sent)?;
    is_sent.store(true, atomic::Ordering::Relaxed);
    let sending = tokio::time::timeout(timeout, connection.send(outgoing));
    let (response, connection_task) = match sending.await {
        Ok(Ok(answered)) => answered,
        Ok(Err(upstream::SendError::NoResponse(reason))) => {
            req.cx
                .check_reachable(&placed.primary, now, Symptom::Broken);
            return Err(Failure::Unknown(reason));
        }
        Ok(Err(upstream::SendError::Invalid(invalid))) => {
            return Err(Failure::Unknown(invalid.into()));
        }
        Ok(Err(e @ upstream::SendError::NotSent(_))) => return Err(Failure::not_run(e)),
        Err(_) => {
            if timeout >= MIN_UNREACHABLE_SILENCE {
                req.cx
                    .check_reachable(&placed.primary, now, Symptom::Silent);
            }
            return Err(Failure::Unknown(
                format!("no response within {timeout:?}").into(),
            ));
        }
    };
    let (parts, body) = response.into_parts();
    let head = headers::response(parts.status, &parts.headers);
    let guards = Guards {
        job,
        server: placed.primary.clone(),
        connection_task,
        reservations,
    };
    let first_event_timeout = timeout.saturating_sub(req.cx.now().saturating_sub(now));
    classify(req, placed, parts, head, body, guards, first_event_timeout)
}

/// Logs that a request is sent to a server, if the server is cold.
fn log_sent_to_cold(
    req: &exchange::Admitted,
    server: &str,
    after: time::Duration,
    now: ids::Timestamp,
) {
    if req.cx.state().loads.health(server).is_cold(now) {
        log::emit(&event::Event::ForwardSentToCold {
            request: req.id(),
            server,
            after_ms: after.as_millis(),
        });
    }
}

fn address(req: &exchange::Admitted, server: &str) -> Result<String, Failure> {
    let now = req.cx.now();
    let state = req.cx.state();
    let server = state.usable(server, now);
    let server = server.ok_or_else(|| Failure::not_run("the server accepts no requests"))?;
    Ok(server.address.clone())
}

fn outgoing(
    req: &exchange::Admitted,
    sent: &head::UpstreamHead<'_>,
) -> Result<http::Request<upstream::RequestBody>, Failure> {
    let path = req.parts.uri.path_and_query();
    let path = path.map_or("/", |path| path.as_str());
    let mut outgoing = http::Request::builder()
        .method(req.parts.method.clone())
        .uri(path)
        .body(upstream::RequestBody::new(req.body.clone()))
        .map_err(Failure::not_run)?;
    *outgoing.headers_mut() = headers::for_server(&req.parts.headers, sent);
    Ok(outgoing)
}

/// Reserves memory on the helpers that are to hold part of the prompt; the others only process it.
async fn reserve(
    req: &exchange::Admitted,
    placed: &placement::Placed,
    primary_address: &str,
    job: &job::JobGuard,
) -> Result<(Vec<head::Helper>, Vec<reservation::Reservation>), Failure> {
    let mut helpers = Vec::new();
    if placed.helpers.is_empty() {
        return Ok((helpers, Vec::new()));
    }
    let user = reservation::User::new(&req.cx, &placed.primary, primary_address);
    let user = &sync::Arc::new(user);
    for helper in &placed.helpers {
        helpers.push(head::Helper {
            address: address(req, &helper.server)?,
            reservation: None,
        });
    }
    let holding = placed.helpers.iter().enumerate();
    let holding = holding.filter(|(_, helper)| helper.held_tokens > 0);
    let opening = holding.map(|(i, helper)| {
        let address = helpers[i].address.clone();
        let id = format!(
            "{}-{}-{i}-{:x}",
            req.cx.settings.vm,
            job.number(),
            rand::random::<u32>()
        );
        async move {
            let (server, tokens) = (&helper.server, helper.held_tokens);
            let opened =
                reservation::Reservation::open(&req.cx, user, server, &address, id, tokens);
            (i, opened.await)
        }
    });
    let opened = futures_util::future::join_all(opening).await;
    let mut reservations = Vec::new();
    for (i, opened) in opened {
        let opened = opened.map_err(|e| Failure::not_run(format!("no memory reserved: {e}")))?;
        helpers[i].reservation = Some(opened.id().to_owned());
        reservations.push(opened);
    }
    Ok((helpers, reservations))
}

/// Checks that a response is the server's to this request, and that it is not a rejection.
///
/// # Errors
///
/// Returns [`Failure::NotRun`] for a rejection, and [`Failure::Unknown`] for a response that belongs
/// to another request, lacks the server's stamp, or has the status of a rejection without being one.
fn classify(
    req: &exchange::Admitted,
    placed: &placement::Placed,
    parts: http::response::Parts,
    head: head::ResponseHead,
    body: upstream::ResponseBody,
    guards: Guards,
    first_event_timeout: time::Duration,
) -> Result<Response, Failure> {
    let server = &placed.primary;
    req.cx.observe_response(server, &head);
    if let Some(left) = head.cold_for {
        req.cx.report_cold(server, left);
    }
    let is_ours = head.request_id.as_deref() == Some(req.id());
    if head.has_not_run && (is_ours || head.request_id.is_none()) {
        record_rejection(req, server, &head);
        return Err(Failure::NotRun {
            reason: parts.status.to_string(),
            has_arrived: !head.is_misdirected,
        });
    }
    if !is_ours {
        record_failure(req, server);
        return Err(Failure::Unknown(
            "the response belongs to another request".to_owned().into(),
        ));
    }
    response_check::validate_run(parts.status.as_u16())
        .map_err(|invalid| Failure::Unknown(invalid.into()))?;
    if parts.status.is_success() && (!head.is_signed || head.is_encoded) {
        record_failure(req, server);
        return Err(Failure::Unknown(
            "the response is unsigned or encoded".to_owned().into(),
        ));
    }
    if parts.status.is_success() && head.rate_limit.is_none() {
        req.cx.observe_unlimited_response(server);
    }
    Ok(Response {
        parts,
        body,
        guards,
        first_event_timeout,
    })
}

/// Records that a server rejected a request, because of its own state or another server's.
fn record_rejection(req: &exchange::Admitted, server: &str, head: &head::ResponseHead) {
    let failed_server = {
        let state = req.cx.state();
        head.failed_server
            .as_ref()
            .and_then(|name| state.view.find_by_name(name))
            .cloned()
    };
    match failed_server {
        Some(other) if other != server => req.cx.report_unreachable(&other),
        _ if head.is_misdirected => req.cx.report_unreachable(server),
        // The server said when it accepts requests again, which is not a failure.
        _ if head.back_off.is_some() => {}
        _ => record_failure(req, server),
    }
}

/// Records that a request failed at a server.
pub(super) fn record_failure(req: &exchange::Admitted, server: &str) {
    let now = req.cx.now();
    req.cx.state().loads.health_mut(server).record_failure(now);
}
