//! One attempt at a server, up to the head of its answer.

use std::time;

use hyper::body;
use mustardshed::{
    core::{
        forward::{head, placement},
        ids,
    },
    platform::headers,
};

use crate::forward::{exchange, job, reservation, upstream};

/// Silence from which a server is left alone for a while.
const SILENT_FROM: time::Duration = time::Duration::from_secs(1);

/// Why an attempt gave no answer to pass on.
#[derive(Debug)]
pub(super) enum Failed {
    /// The request has not run at this server.
    NotRun {
        /// Why.
        reason: String,
        /// Whether the server saw the request and counts it.
        has_arrived: bool,
    },
    /// It is not known whether the request has run.
    Unknown(String),
}

impl Failed {
    fn not_run(reason: impl ToString) -> Self {
        Self::NotRun {
            reason: reason.to_string(),
            has_arrived: false,
        }
    }
}

/// A server's answer of which the head has come.
#[derive(Debug)]
pub(super) struct Answered {
    pub(super) parts: http::response::Parts,
    pub(super) body: body::Incoming,
    /// What must live as long as the body is read.
    pub(super) held: Held,
    /// Longest wait for the first event, if the answer is a stream.
    pub(super) begins_within: time::Duration,
}

/// What must live as long as an answer is read.
#[derive(Debug)]
pub(super) struct Held {
    pub(super) job: job::Job,
    pub(super) server: ids::BackendServerId,
    pub(super) driver: upstream::Driver,
    _reservations: Vec<reservation::Reservation>,
}

/// Sends the request to the server where it was placed.
pub(super) async fn run(
    req: &exchange::Admitted,
    placed: &placement::Placed,
    job: job::Job,
    last_event: Option<u64>,
    timeout: time::Duration,
) -> Result<Answered, Failed> {
    let (helpers, reservations) = reserve(req, placed, &job).await?;
    let address = address(req, &placed.primary)?;
    let connection = match upstream::Connection::open(&address).await {
        Ok(connection) => connection,
        Err(e) => {
            req.cx.unreachable(&placed.primary);
            return Err(Failed::not_run(e));
        }
    };
    // The server may have left, or asked to be left alone, while the connection was made.
    let now = req.cx.now();
    if req.cx.state().usable(&placed.primary, now).is_none() {
        return Err(Failed::not_run("the server takes no requests"));
    }
    let sent = head::UpstreamHead {
        server: &placed.primary,
        account: req.account.as_ref().map(|account| account.name.as_str()),
        time_left: req.time_left(now),
        last_event_id: last_event,
        helpers: &helpers,
        priority: req.priority(),
    };
    let outgoing = outgoing(req, &sent)?;
    let sending = tokio::time::timeout(timeout, connection.send(outgoing));
    let (answer, driver) = match sending.await {
        Ok(Ok(answered)) => answered,
        Ok(Err(upstream::SendError::NoAnswer(reason))) => {
            req.cx.unreachable(&placed.primary);
            return Err(Failed::Unknown(reason));
        }
        Ok(Err(e)) => return Err(Failed::not_run(e)),
        Err(_) => {
            if timeout >= SILENT_FROM {
                req.cx.unreachable(&placed.primary);
            }
            return Err(Failed::Unknown(format!("no answer within {timeout:?}")));
        }
    };
    let (parts, body) = answer.into_parts();
    let head = headers::answer(parts.status, &parts.headers);
    let held = Held {
        job,
        server: placed.primary.clone(),
        driver,
        _reservations: reservations,
    };
    let begins_within = timeout.saturating_sub(req.cx.now().saturating_sub(now));
    check(req, placed, parts, head, body, held, begins_within)
}

fn address(req: &exchange::Admitted, server: &str) -> Result<String, Failed> {
    let now = req.cx.now();
    let state = req.cx.state();
    let server = state.usable(server, now);
    let server = server.ok_or_else(|| Failed::not_run("the server takes no requests"))?;
    Ok(server.address.clone())
}

fn outgoing(
    req: &exchange::Admitted,
    sent: &head::UpstreamHead<'_>,
) -> Result<http::Request<upstream::Whole>, Failed> {
    let path = req.parts.uri.path_and_query();
    let path = path.map_or("/", |path| path.as_str());
    let mut outgoing = http::Request::builder()
        .method(req.parts.method.clone())
        .uri(path)
        .body(upstream::Whole::new(req.body.clone()))
        .map_err(Failed::not_run)?;
    *outgoing.headers_mut() = headers::toward_server(&req.parts.headers, sent);
    Ok(outgoing)
}

/// Reserves the memory that helpers hold; without any, helpers only read.
async fn reserve(
    req: &exchange::Admitted,
    placed: &placement::Placed,
    job: &job::Job,
) -> Result<(Vec<head::Helper>, Vec<reservation::Reservation>), Failed> {
    let mut helpers = Vec::new();
    for helper in &placed.helpers {
        helpers.push(head::Helper {
            address: address(req, &helper.server)?,
            reservation: None,
        });
    }
    let holding = placed.helpers.iter().enumerate();
    let holding = holding.filter(|(_, helper)| helper.held_tokens > 0);
    let making = holding.map(|(i, helper)| {
        let address = helpers[i].address.clone();
        let id = format!(
            "{}-{}-{i}-{:x}",
            req.cx.settings.vm,
            job.number(),
            rand::random::<u32>()
        );
        async move {
            let (server, tokens) = (&helper.server, helper.held_tokens);
            let made = reservation::Reservation::make(&req.cx, server, &address, id, tokens);
            (i, made.await)
        }
    });
    let made = futures_util::future::join_all(making).await;
    let mut reservations = Vec::new();
    for (i, made) in made {
        let made = made.map_err(|e| Failed::not_run(format!("no memory reserved: {e}")))?;
        helpers[i].reservation = Some(made.id().to_owned());
        reservations.push(made);
    }
    Ok((helpers, reservations))
}

/// Tells an answer to this request from what is none, and from a refusal.
fn check(
    req: &exchange::Admitted,
    placed: &placement::Placed,
    parts: http::response::Parts,
    head: head::ResponseHead,
    body: body::Incoming,
    held: Held,
    begins_within: time::Duration,
) -> Result<Answered, Failed> {
    let server = &placed.primary;
    req.cx.answered_by(server, &head);
    if let Some(left) = head.cold_for {
        req.cx.cold(server, left);
    }
    let is_ours = head.request_id.as_deref() == Some(req.id());
    if head.has_not_run && (is_ours || head.request_id.is_none()) {
        turned_away(req, server, &head);
        return Err(Failed::NotRun {
            reason: parts.status.to_string(),
            has_arrived: !head.is_misdirected,
        });
    }
    if !is_ours {
        failed(req, server);
        return Err(Failed::Unknown(
            "the answer is to another request".to_owned(),
        ));
    }
    if parts.status.is_success() && (!head.has_server_stamp || head.is_encoded) {
        failed(req, server);
        return Err(Failed::Unknown("the answer is not the server's".to_owned()));
    }
    Ok(Answered {
        parts,
        body,
        held,
        begins_within,
    })
}

/// Takes that a server turned a request away, for its own sake or another server's.
fn turned_away(req: &exchange::Admitted, server: &str, head: &head::ResponseHead) {
    let named = {
        let state = req.cx.state();
        head.failed_server
            .as_ref()
            .and_then(|name| state.view.named(name))
            .cloned()
    };
    match named {
        Some(other) if other != server => req.cx.unreachable(&other),
        _ if head.is_misdirected => req.cx.unreachable(server),
        // It has said when it takes requests again, which is no failure.
        _ if head.back_off.is_some() => {}
        _ => failed(req, server),
    }
}

/// Takes that a server failed a request.
pub(super) fn failed(req: &exchange::Admitted, server: &str) {
    let now = req.cx.now();
    req.cx.state().ledger.health_mut(server).record_failure(now);
}
