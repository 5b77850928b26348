//! The closed list of events; `docs/EVENTS.md` is its catalogue.

use mustardshed::core::ids;

use crate::log::catalogue;

catalogue::events! {
    /// A request was routed to one backend server.
    1001 Info "routed" Routed {
        request: &'a str,
        account: &'a str,
        service: &'a str,
        server: &'a str,
        data_centre: &'a str,
        estimate_ms: u128,
        prompt_tokens: ids::Tokens,
        attempt: u32,
        reason: &'a str,
    }
    /// No backend server may be given a request.
    1002 Warn "not_routed" NotRouted {
        request: &'a str,
        account: &'a str,
        service: &'a str,
        reason: &'a str,
    }
    /// A request was routed to a gang of engines.
    1003 Info "gang_routed" GangRouted {
        request: &'a str,
        account: &'a str,
        service: &'a str,
        servers: &'a str,
        data_centre: &'a str,
        estimate_ms: u128,
        prompt_tokens: ids::Tokens,
        tokens_each: ids::Tokens,
        attempt: u32,
        reason: &'a str,
    }
    /// A request was refused before anything ran.
    1004 Info "refused" Refused {
        request: &'a str,
        account: &'a str,
        code: &'a str,
        reason: &'a str,
    }
    /// An attempt on a backend server failed.
    1005 Warn "attempt_failed" AttemptFailed {
        request: &'a str,
        servers: &'a str,
        code: &'a str,
        outcome: &'a str,
        next: &'a str,
        reason: &'a str,
    }
    /// An output is resumed on the engine that runs it.
    1006 Info "resumed" Resumed {
        request: &'a str,
        server: &'a str,
        offset: ids::Tokens,
        reason: &'a str,
    }
    /// A request ended.
    1007 Info "ended" Ended {
        request: &'a str,
        account: &'a str,
        service: &'a str,
        outcome: &'a str,
        code: &'a str,
        servers: &'a str,
        tokens: ids::Tokens,
        elapsed_ms: u128,
    }
    /// A claim was granted, or an earlier request holds or held it.
    1008 Info "claimed" Claimed {
        request: &'a str,
        account: &'a str,
        granted: bool,
        holder: &'a str,
    }
    /// The final fate of a claimed request could not be recorded.
    1009 Error "not_settled" NotSettled {
        request: &'a str,
        reason: &'a str,
    }
    /// The listener for callers accepts connections.
    1101 Info "listening" Listening {
        address: &'a str,
    }
    /// The listener for callers could not accept a connection.
    1102 Warn "accept_failed" AcceptFailed {
        reason: &'a str,
    }
    /// The entry refuses new work from now on.
    1103 Info "drain_began" DrainBegan {
        in_flight: usize,
    }
    /// The process runs.
    1104 Info "started" Started {
        vm: &'a str,
        incarnation: ids::Incarnation,
        data_centre: &'a str,
    }
    /// The process ends as planned.
    1105 Info "stopped" Stopped {
        vm: &'a str,
        incarnation: ids::Incarnation,
    }
    /// The process ends although records of claimed requests are not written.
    1106 Error "records_given_up" RecordsGivenUp {
        fates: usize,
        claims: usize,
    }
    /// Claims that are out of date were looked for and deleted.
    1107 Info "claims_swept" ClaimsSwept {
        accounts: usize,
        listed: u64,
        deleted: u64,
        failed: u64,
        given_up: bool,
    }
    /// A caller was told which entries to use.
    1108 Info "entries_told" EntriesTold {
        account: &'a str,
        data_centre: &'a str,
        entries: usize,
        left_out: usize,
        heaviest: &'a str,
        lightest: &'a str,
    }
    /// A request was placed on a backend server, with the servers that help to read its prompt.
    1201 Info "forward_placed" ForwardPlaced {
        request: &'a str,
        route: &'a str,
        version: ids::Generation,
        server: &'a str,
        helpers: &'a str,
        held_tokens: ids::Tokens,
        prompt_tokens: ids::Tokens,
        part_ms: f64,
        estimate_ms: f64,
        price: f64,
        attempt: u32,
        arrivals: usize,
        cold_ms: u128,
    }
    /// A request was refused by this system, or given up.
    1202 Warn "forward_refused" ForwardRefused {
        request: &'a str,
        status: u16,
        reason: &'a str,
        retry_after_ms: u128,
        version: ids::Generation,
        age_ms: u128,
        elapsed_ms: u128,
    }
    /// An attempt at a backend server failed.
    1203 Warn "forward_attempt_failed" ForwardAttemptFailed {
        request: &'a str,
        server: &'a str,
        outcome: &'a str,
        reason: &'a str,
        next: &'a str,
    }
    /// A request ended with an answer of a backend server, whole or broken off.
    1204 Info "forward_ended" ForwardEnded {
        request: &'a str,
        route: &'a str,
        outcome: &'a str,
        status: u16,
        server: &'a str,
        events: u64,
        first_ms: u128,
        longest_gap_ms: u128,
        elapsed_ms: u128,
    }
    /// An order about reserved memory failed.
    1205 Warn "reservation_failed" ReservationFailed {
        server: &'a str,
        reservation: &'a str,
        order: &'a str,
        reason: &'a str,
    }
    /// The client left before its request had ended.
    1206 Info "forward_cancelled" ForwardCancelled {
        request: &'a str,
        route: &'a str,
        stage: &'a str,
        server: &'a str,
        elapsed_ms: u128,
    }
    /// A request was not placed on any server, after the wait that it had for a place.
    1207 Warn "forward_not_placed" ForwardNotPlaced {
        request: &'a str,
        route: &'a str,
        reason: &'a str,
        prompt_tokens: ids::Tokens,
        price: f64,
        weight: f64,
        estimate_ms: f64,
        attempt: u32,
    }
    /// A request was sent to a cold server.
    1208 Info "forward_sent_to_cold" ForwardSentToCold {
        request: &'a str,
        server: &'a str,
        after_ms: u128,
    }
    /// A backend server ended while it had requests of this entry that it had not begun to answer.
    1209 Warn "server_crashed" ServerCrashed {
        server: &'a str,
        requests: usize,
        parts: &'a str,
        fingerprints: &'a str,
    }
    /// Requests with these prompt parts crash backend servers and are refused.
    1210 Warn "prompt_parts_quarantined" PromptPartsQuarantined {
        parts: &'a str,
    }
    /// The process ended before a request did.
    1211 Warn "forward_cut" ForwardCut {
        request: &'a str,
        route: &'a str,
        stage: &'a str,
        server: &'a str,
        elapsed_ms: u128,
    }
    /// Backend servers crash each time this request is repeated; it is refused.
    1212 Warn "request_quarantined" RequestQuarantined {
        fingerprint: &'a str,
    }
    /// A backend server that seemed to have crashed has been running all the time.
    1213 Info "crash_withdrawn" CrashWithdrawn {
        server: &'a str,
        after_ms: u128,
    }
    /// Requests of an account are refused: it uses more than its share of a service.
    1220 Warn "account_over_share" AccountOverShare {
        account: &'a str,
        service: &'a str,
        slots: usize,
        prefill_ms: f64,
        share_ratio: f64,
    }
    /// No request of an account has been refused because of its share for ten seconds.
    1221 Info "account_within_share" AccountWithinShare {
        account: &'a str,
        service: &'a str,
        refused: u64,
        lasted_ms: u128,
    }
    /// A request was not placed because its account uses more than its share of the service.
    1222 Warn "forward_over_share" ForwardOverShare {
        request: &'a str,
        route: &'a str,
        account: &'a str,
        service: &'a str,
        slots: usize,
        prefill_ms: f64,
        share_ratio: f64,
    }
    /// A request was sent to a second server while the first attempt continued.
    1223 Info "hedge_sent" HedgeSent {
        request: &'a str,
        route: &'a str,
        server: &'a str,
        first: &'a str,
        after_ms: u128,
    }
    /// One of two attempts has a response to pass on; the other is cancelled if it still runs.
    1224 Info "hedge_ended" HedgeEnded {
        request: &'a str,
        route: &'a str,
        won: &'a str,
        server: &'a str,
        cancelled: &'a str,
        elapsed_ms: u128,
    }
    /// A second attempt was due, but a limit forbade it.
    1225 Info "hedge_denied" HedgeDenied {
        request: &'a str,
        route: &'a str,
        reason: &'a str,
        after_ms: u128,
    }
    /// A client has taken nothing of its stream for a second; the stream is read ahead.
    1226 Info "client_slow" ClientSlow {
        request: &'a str,
        route: &'a str,
        events: u64,
        held_bytes: usize,
        server_done: bool,
    }
    /// A stream is read as fast as its client reads: as much is held as may be.
    1227 Info "read_ahead_stopped" ReadAheadStopped {
        request: &'a str,
        route: &'a str,
        reason: &'a str,
        held_bytes: usize,
    }
    /// A backend server sent an invalid response to a request; it was not passed on.
    1228 Warn "response_invalid" ResponseInvalid {
        request: &'a str,
        server: &'a str,
        problem: &'a str,
    }
    /// A backend server sent an invalid response to this entry's own request.
    1229 Warn "own_response_invalid" OwnResponseInvalid {
        server: &'a str,
        source: &'a str,
        problem: &'a str,
    }
    /// A forwarding entry runs.
    1301 Info "forwarding_started" ForwardingStarted {
        vm: &'a str,
        data_centre: &'a str,
        program: &'a str,
        buffer_limit_bytes: usize,
    }
    /// A forwarding entry ends as planned.
    1302 Info "forwarding_stopped" ForwardingStopped {
        vm: &'a str,
        open: usize,
        in_flight: usize,
        elapsed_ms: u128,
    }
    /// The settings were read again.
    1303 Info "settings_reread" SettingsReread {
        result: &'a str,
    }
    /// Lines were not written since the start: beyond their budget, or the queue was full.
    1304 Warn "log_thinned" LogThinned {
        thinned: u64,
        dropped: u64,
    }
    /// A forwarding entry limits the connections of its clients.
    1310 Info "client_limits" ClientLimits {
        descriptors: usize,
        max_connections: usize,
        max_per_address: usize,
        max_incomplete: usize,
        receive_buffer_bytes: u32,
    }
    /// Connections of clients were closed for a limit since the last such line.
    1311 Warn "client_connections_closed" ClientConnectionsClosed {
        limit: &'a str,
        count: u64,
        open: usize,
        incomplete: usize,
    }
    /// Connections of clients were not accepted for a limit since the last such line.
    1312 Warn "client_connections_refused" ClientConnectionsRefused {
        limit: &'a str,
        count: u64,
        open: usize,
        incomplete: usize,
    }
    /// What limits the memory of a forwarding entry, half of which it may hold for what others send.
    1313 Info "memory_limit" MemoryLimit {
        source: &'a str,
        memory_bytes: u64,
    }
    /// A generation of the configuration is in force.
    2001 Info "configuration_in_force" ConfigurationInForce {
        generation: ids::Generation,
        source: &'a str,
    }
    /// A member came, left, or is taken to be dead.
    2002 Info "member_changed" MemberChanged {
        vm: &'a str,
        state: &'a str,
    }
    /// A backend server has another steward.
    2003 Info "steward_changed" StewardChanged {
        server: &'a str,
        steward: &'a str,
    }
    /// A backend server turned cold or warm, stopped answering, or leaves.
    2004 Info "server_changed" ServerChanged {
        server: &'a str,
        state: &'a str,
        reason: &'a str,
    }
    /// A steward granted or refused a credit.
    2005 Info "credit_decided" CreditDecided {
        request: &'a str,
        server: &'a str,
        granted: bool,
        reason: &'a str,
    }
    /// Memory that nobody owned was given back.
    2006 Warn "reaped" Reaped {
        server: &'a str,
        request: &'a str,
    }
    /// New work may, or may no longer, be placed.
    2007 Warn "freshness_changed" FreshnessChanged {
        fresh: bool,
        reason: &'a str,
    }
    /// A generation is in force whose text is not understood; the text before it stays.
    2008 Error "configuration_not_understood" ConfigurationNotUnderstood {
        generation: ids::Generation,
        reason: &'a str,
    }
    /// This entry took or lost the lease of placement.
    2009 Info "placement_lease" PlacementLease {
        fence: ids::FencingNumber,
        state: &'a str,
    }
    /// What an engine holds is to be changed.
    2010 Info "placement_decided" PlacementDecided {
        server: &'a str,
        change: &'a str,
        fence: ids::FencingNumber,
        reason: &'a str,
    }
    /// An order was answered, or the change that it is for ended.
    2011 Info "placement_ordered" PlacementOrdered {
        server: &'a str,
        change: &'a str,
        fence: ids::FencingNumber,
        result: &'a str,
    }
    /// A version of the routes, services and accounts is in force.
    2101 Info "routes_in_force" RoutesInForce {
        version: ids::Generation,
        revision: u64,
    }
    /// A kind of the platform's objects can no longer be read.
    2102 Warn "platform_lost" PlatformLost {
        kind: &'a str,
        reason: &'a str,
    }
    /// A kind of the platform's objects can be read again.
    2103 Info "platform_regained" PlatformRegained {
        kind: &'a str,
    }
    /// An object of the platform is not understood and has no effect.
    2104 Error "object_not_understood" ObjectNotUnderstood {
        kind: &'a str,
        name: &'a str,
        reason: &'a str,
    }
    /// A backend server is listed, or its entry has changed.
    2105 Info "server_listed" ServerListed {
        server: &'a str,
        service: &'a str,
        address: &'a str,
        data_centre: &'a str,
        state: &'a str,
        cold_for_ms: u128,
    }
    /// A backend server is not listed any more; one that may have lapsed in an outage counts for a while.
    2106 Info "server_gone" ServerGone {
        server: &'a str,
        lapsed: bool,
    }
    /// A data centre was taken out of service or put back.
    2107 Info "data_centre_changed" DataCentreChanged {
        data_centre: &'a str,
        out: bool,
    }
    /// A link to a peer was lost and is opened anew.
    2108 Warn "link_lost" LinkLost {
        address: &'a str,
        reason: &'a str,
    }
    /// This entry has registered with the platform, or could not.
    2109 Info "registered" Registered {
        vm: &'a str,
        result: &'a str,
    }
    /// An engine is slower than its profile, or no longer.
    2110 Info "pace_changed" PaceChanged {
        server: &'a str,
        pace: f64,
        before: f64,
    }
    /// An engine's report could not be read.
    2111 Warn "report_failed" ReportFailed {
        server: &'a str,
        reason: &'a str,
    }
    /// This entry hears the others through a relay, and tells it its work.
    2112 Info "relay_chosen" RelayChosen {
        address: &'a str,
        members: usize,
    }
    /// Another entry hears the others through this one.
    2113 Info "leaf_taken" LeafTaken {
        vm: &'a str,
        leaves: usize,
    }
    /// A backend server has said in an answer that it leaves.
    2114 Info "server_leaving" ServerLeaving {
        server: &'a str,
    }
    /// A backend server wants no request of this entry for a while.
    2115 Info "backed_off" BackedOff {
        server: &'a str,
        wait_ms: u128,
        asked_ms: u128,
    }
    /// A backend server has said when it wants requests again in a way that is not understood.
    2116 Warn "back_off_not_understood" BackOffNotUnderstood {
        server: &'a str,
        value: &'a str,
    }
    /// A backend server advertises a limit on the requests per second of all entries together.
    2117 Info "rate_limit_advertised" RateLimitAdvertised {
        server: &'a str,
        per_s: f64,
    }
    /// A backend server advertises no rate limit any more.
    2118 Info "rate_limit_ended" RateLimitEnded {
        server: &'a str,
    }
    /// A backend server advertises a rate limit that is not understood.
    2119 Warn "rate_limit_not_understood" RateLimitNotUnderstood {
        server: &'a str,
        value: &'a str,
    }
    /// A list of the platform's objects is older than the known one and has no effect.
    2120 Info "listing_ignored" ListingIgnored {
        kind: &'a str,
        era: u64,
        revision: u64,
        known_era: u64,
        known_revision: u64,
    }
    /// The platform's store was restored from a copy; what was written since then is written again.
    2121 Warn "platform_restored" PlatformRestored {
        kind: &'a str,
        era: u64,
        revision: u64,
    }
    /// A backend server is ejected for a while: the entry on this VM could not reach it.
    2122 Warn "server_ejected" ServerEjected {
        server: &'a str,
        reported_by: &'a str,
        for_ms: u128,
    }
    /// This entry could not connect to several backend servers, and to none in between.
    2123 Warn "paths_lost" PathsLost {
        servers: usize,
    }
    /// This entry has connected to a backend server again.
    2124 Info "paths_restored" PathsRestored {
        server: &'a str,
        after_ms: u128,
    }
    /// This entry cannot connect to a backend server that a peer reaches; it connects through peers.
    2125 Info "path_bypassed" PathBypassed {
        server: &'a str,
        peer: &'a str,
    }
    /// A connection to a backend server that a peer uses broke.
    2126 Warn "tunnel_broken" TunnelBroken {
        server: &'a str,
        reason: &'a str,
    }
    /// The latest configuration cannot be decoded; the one before it stays in force, unconfirmed.
    2127 Error "configuration_superseded" ConfigurationSuperseded {
        version: ids::Generation,
        reason: &'a str,
    }
    /// A part of the configuration in force cannot be decoded; requests that it may concern are refused.
    2128 Error "configuration_part_undecoded" ConfigurationPartUndecoded {
        version: ids::Generation,
        problem: &'a str,
    }
    /// The names of some objects that were listed or changed cannot be read; they have no effect.
    2129 Error "objects_unnamed" ObjectsUnnamed {
        kind: &'a str,
        count: usize,
    }
    /// A list of the platform's objects could be read only in part; what it leaves out stays as known.
    2130 Error "list_incomplete" ListIncomplete {
        kind: &'a str,
        reason: &'a str,
        objects: usize,
    }
    /// The peers have told of their requests since the start, or are waited for no longer.
    2131 Info "peers_heard" PeersHeard {
        heard: usize,
        members: usize,
        elapsed_ms: u128,
    }
}
