//! `GET /operator/status`: members, servers and configuration as this entry sees them.

use mustardshed::{
    core::{boundary::backend_server, process::snapshot},
    wire::operator,
};

use crate::http::{cx, reply};

/// Returns the status as this entry sees it.
pub fn status(cx: &cx::Cx) -> operator::Status {
    let snapshot = cx.requests.control.snapshot();
    let now = cx.requests.clock.now();
    operator::Status {
        vm: snapshot.vm.clone(),
        incarnation: snapshot.incarnation,
        data_centre: snapshot.data_centre.clone(),
        generation: snapshot.generation,
        may_place_ms: reply::millis(snapshot.may_place_until.saturating_sub(now)),
        leaving: snapshot.leaving,
        data_centres_out: snapshot.data_centres_out.clone(),
        members: snapshot.members.values().map(member).collect(),
        servers: snapshot.servers.values().map(server).collect(),
        platform_calls: cx.operator.platform_calls(),
        bytes: cx.operator.bytes(),
    }
}

fn member(view: &snapshot::MemberView) -> operator::MemberStatus {
    operator::MemberStatus {
        vm: view.vm.clone(),
        incarnation: view.incarnation,
        address: view.address.clone(),
        data_centre: view.data_centre.clone(),
        live: view.live,
        leaving: view.leaving,
        generation: view.generation,
    }
}

fn server(view: &snapshot::ServerView) -> operator::ServerStatus {
    operator::ServerStatus {
        id: view.id.clone(),
        kind: view.kind.clone(),
        address: view.address.clone(),
        data_centre: view.data_centre.clone(),
        warmth: warmth(view.warmth).to_owned(),
        epoch: view.epoch,
        reachable: view.reachable,
        leaving: view.leaving,
        memory_tokens: view.memory_tokens,
        used_tokens: view.used_tokens,
        queued_prefill_tokens: view.queued_prefill_tokens,
        running: view.running,
        steward: view.steward.clone(),
    }
}

const fn warmth(warmth: backend_server::Warmth) -> &'static str {
    match warmth {
        backend_server::Warmth::Cold => "cold",
        backend_server::Warmth::Warm => "warm",
    }
}
