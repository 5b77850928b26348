//! One attempt at a server, up to the head of its response.

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

/// Shortest silence after which a server counts as unreachable and is ejected for a while.
const SILENT_FROM: time::Duration = time::Duration::from_secs(1);

/// Why an attempt gave no response to pass on.
#[derive(Debug)]
pub(super) enum Failed {
    /// The server did not run the request.
    NotRun {
        /// Reason for the log.
        reason: String,
        /// Whether the server received the request, so that a further attempt counts as a retry.
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

/// A server's response whose head has arrived.
#[derive(Debug)]
pub(super) struct Answered {
    pub(super) parts: http::response::Parts,
    pub(super) body: body::Incoming,
    /// Guards that must live until the body has been read.
    pub(super) held: Held,
    /// Longest wait for the first event, if the response is a stream.
    pub(super) begins_within: time::Duration,
}

/// Guards that must live until a response has been read.
#[derive(Debug)]
pub(super) struct Held {
    pub(super) job: job::Job,
    pub(super) server: ids::BackendServerId,
    pub(super) driver: upstream::Driver,
    _reservations: Vec<reservation::Reservation>,
}

/// Sends the request to the server where it was placed.
///
/// # Errors
///
/// Returns whether the request has not run there, or may have run.
pub(super) async fn run(
    req: &exchange::Admitted,
    placed: &placement::Placed,
    job: job::Job,
    last_event: Option<u64>,
    timeout: time::Duration,
) -> Result<Answered, Failed> {
    let (helpers, reservations) = reserve(req, placed, &job).await?;
    let address = address(req, &placed.home)?;
    let connection = match upstream::Connection::open(&address).await {
        Ok(connection) => connection,
        Err(e) => {
            req.cx.unreachable(&placed.home);
            return Err(Failed::not_run(e));
        }
    };
    // The server may have shut down, or asked for back-off, while the connection was opened.
    let now = req.cx.now();
    if req.cx.state().usable(&placed.home, now).is_none() {
        return Err(Failed::not_run("the server accepts no requests"));
    }
    let sent = head::Sent {
        server: &placed.home,
        account: req.account.as_ref().map(|account| account.name.as_str()),
        time_left: req.time_left(now),
        last_event,
        helpers: &helpers,
        priority: req.priority(),
    };
    let outgoing = outgoing(req, &sent)?;
    let sending = tokio::time::timeout(timeout, connection.send(outgoing));
    let (answer, driver) = match sending.await {
        Ok(Ok(answered)) => answered,
        Ok(Err(upstream::SendError::NoAnswer(reason))) => {
            req.cx.unreachable(&placed.home);
            return Err(Failed::Unknown(reason));
        }
        Ok(Err(e)) => return Err(Failed::not_run(e)),
        Err(_) => {
            if timeout >= SILENT_FROM {
                req.cx.unreachable(&placed.home);
            }
            return Err(Failed::Unknown(format!("no response within {timeout:?}")));
        }
    };
    let (parts, body) = answer.into_parts();
    let head = headers::answer(parts.status, &parts.headers);
    let held = Held {
        job,
        server: placed.home.clone(),
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
    let server = server.ok_or_else(|| Failed::not_run("the server accepts no requests"))?;
    Ok(server.address.clone())
}

fn outgoing(
    req: &exchange::Admitted,
    sent: &head::Sent<'_>,
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

/// Reserves memory on the helpers that are to hold part of the prompt; the others only process it.
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

/// Checks that a response is the server's to this request, and that it is not a rejection.
///
/// # Errors
///
/// Returns [`Failed::NotRun`] for a rejection, and [`Failed::Unknown`] for a response that belongs
/// to another request or lacks the server's stamp.
fn check(
    req: &exchange::Admitted,
    placed: &placement::Placed,
    parts: http::response::Parts,
    head: head::Answer,
    body: body::Incoming,
    held: Held,
    begins_within: time::Duration,
) -> Result<Answered, Failed> {
    let server = &placed.home;
    req.cx.answered_by(server, &head);
    if let Some(left) = head.cold_for {
        req.cx.cold(server, left);
    }
    let is_ours = head.request.as_deref() == Some(req.id());
    if head.has_not_run && (is_ours || head.request.is_none()) {
        turned_away(req, server, &head);
        return Err(Failed::NotRun {
            reason: parts.status.to_string(),
            has_arrived: !head.is_misdirected,
        });
    }
    if !is_ours {
        failed(req, server);
        return Err(Failed::Unknown(
            "the response belongs to another request".to_owned(),
        ));
    }
    if parts.status.is_success() && (!head.is_signed || head.is_encoded) {
        failed(req, server);
        return Err(Failed::Unknown(
            "the response is unsigned or encoded".to_owned(),
        ));
    }
    Ok(Answered {
        parts,
        body,
        held,
        begins_within,
    })
}

/// Records that a server rejected a request, because of its own state or another server's.
fn turned_away(req: &exchange::Admitted, server: &str, head: &head::Answer) {
    let named = {
        let state = req.cx.state();
        head.at_fault
            .as_ref()
            .and_then(|name| state.view.named(name))
            .cloned()
    };
    match named {
        Some(other) if other != server => req.cx.unreachable(&other),
        _ if head.is_misdirected => req.cx.unreachable(server),
        // The server said when it accepts requests again, which is not a failure.
        _ if head.back_off.is_some() => {}
        _ => failed(req, server),
    }
}

/// Records that a request failed at a server.
pub(super) fn failed(req: &exchange::Admitted, server: &str) {
    let now = req.cx.now();
    req.cx.state().ledger.health_mut(server).failed(now);
}
