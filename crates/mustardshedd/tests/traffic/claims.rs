//! Claims on a platform that responds late, and the sweep of expired claims.

use std::{net, sync, time};

use googletest::prelude::*;
use mustardshed::{
    core::{
        boundary::{control as boundary, control::Control, platform},
        process::node,
        request::claim,
    },
    wire,
};
use mustardshedd::process::{claims::sweeper, control};

use crate::fakes::{clock, platform::FakePlatform, servers};

const NOW: time::Duration = time::Duration::from_secs(10_000_000);
const HOUR: time::Duration = time::Duration::from_secs(60 * 60);
const TIMEOUT: time::Duration = time::Duration::from_secs(60);

fn control(platform: &sync::Arc<FakePlatform>) -> control::Handle {
    let parts = control::Parts {
        identity: node::Identity {
            vm: "entry-1".to_owned(),
            incarnation: 1,
            data_centre: "east".to_owned(),
            address: "127.0.0.1:1".to_owned(),
            peer_address: "127.0.0.1:2".to_owned(),
        },
        seed: 7,
        clock: sync::Arc::new(clock::FakeClock::new()),
        platform: sync::Arc::clone(platform) as _,
        servers: sync::Arc::new(servers::FakeServers::default()),
        peer_key: sync::Arc::from(*b"sixteen bytes or more"),
        log: |_| {},
    };
    let listener = net::TcpListener::bind("127.0.0.1:0").unwrap();
    listener.set_nonblocking(true).unwrap();
    control::spawn(parts, listener).unwrap()
}

fn claim_request() -> boundary::ClaimRequest {
    boundary::ClaimRequest {
        account: "bindery".to_owned(),
        key: "deposit-1".to_owned(),
        body_digest: [1; 32],
        request: "entry-1.1.1".to_owned(),
    }
}

fn claimed(age: time::Duration) -> Vec<u8> {
    let value = claim::Value {
        request: "entry-1.1.1".to_owned(),
        body_digest: [1; 32],
        created_at: NOW.saturating_sub(age),
        fate: None,
    };
    wire::claim::encode(&value).unwrap()
}

#[gtest]
#[tokio::test]
async fn planned_stop_waits_until_an_unused_claim_is_released() -> Result<()> {
    let platform = sync::Arc::new(FakePlatform::default());
    let control = control(&platform);
    platform.delay_responses(time::Duration::from_millis(300));

    let claiming = control.claim(claim_request());
    let left = tokio::time::timeout(time::Duration::from_millis(100), claiming).await;
    let held = platform.names().len();
    let unfinished = control.wait_for_claims(TIMEOUT).await;

    verify_that!(left.is_err(), eq(true))?;
    verify_that!(held, eq(1))?;
    verify_that!(unfinished, eq(0))?;
    verify_that!(platform.names(), eq(&Vec::<String>::new()))
}

#[gtest]
#[tokio::test]
async fn sweep_deletes_expired_claims_that_were_not_claimed_anew() -> Result<()> {
    let platform = sync::Arc::new(FakePlatform::default());
    let old = claim::RETENTION + 2 * HOUR;
    platform.store("bindery.0", claimed(old));
    platform.store("bindery.1", claimed(HOUR));
    platform.store("bindery.2", claimed(old));
    platform.store("bindery.3", b"not a claim".to_vec());
    platform.store("haulers.0", claimed(old));
    platform.write_after_list("bindery.2");
    let shared: sync::Arc<dyn platform::Platform> = sync::Arc::clone(&platform) as _;

    let account = "bindery".to_owned();
    let swept = sweeper::sweep(&shared, &[&account], NOW, time::Duration::ZERO).await;

    let left = ["bindery.1", "bindery.2", "bindery.3", "haulers.0"].map(str::to_owned);
    verify_that!(platform.names(), container_eq(left))?;
    verify_that!(swept.listed, eq(3))?;
    verify_that!(swept.deleted, eq(1))?;
    verify_that!(platform.calls(platform::Purpose::ClaimSweep), eq(3))?;
    verify_that!(platform.calls(platform::Purpose::Claim), eq(0))
}
