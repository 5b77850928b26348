//! `GET /operator/status`: what is in force where.

use mustardshed::core::{border::backend_server, process::snapshot};

use crate::http::{cx, message, reply};

/// Returns the status as this entry sees it.
pub fn status(cx: &cx::Cx) -> message::StatusAnswer {
    let snapshot = cx.requests.control.snapshot();
    let now = cx.requests.clock.now();
    message::StatusAnswer {
        vm: snapshot.vm.clone(),
        incarnation: snapshot.incarnation,
        data_centre: snapshot.data_centre.clone(),
        generation: snapshot.generation,
        may_place_ms: reply::millis(snapshot.may_place_until.saturating_sub(now)),
        leaving: snapshot.leaving,
        data_centres_out: snapshot.data_centres_out.iter().cloned().collect(),
        members: snapshot.members.values().map(member).collect(),
        servers: snapshot.servers.values().map(server).collect(),
        platform_calls: cx.operator.platform_calls(),
    }
}

fn member(view: &snapshot::MemberView) -> message::MemberBody {
    message::MemberBody {
        vm: view.vm.clone(),
        incarnation: view.incarnation,
        address: view.address.clone(),
        data_centre: view.data_centre.clone(),
        live: view.live,
        leaving: view.leaving,
        generation: view.generation,
    }
}

fn server(view: &snapshot::ServerView) -> message::ServerBody {
    message::ServerBody {
        id: view.id.clone(),
        kind: view.kind.clone(),
        address: view.address.clone(),
        data_centre: view.data_centre.clone(),
        warmth: match view.warmth {
            backend_server::Warmth::Cold => "cold",
            backend_server::Warmth::Warm => "warm",
        },
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
