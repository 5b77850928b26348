//! Shares of entries in what a server accepts from all of them.

use std::time;

use googletest::prelude::*;
use mustardshed_core::forward::{rate_shares, relays};

use crate::fixtures;

const SERVER: &str = "engine-00";

const fn per_second(per_s: f64) -> rate_shares::Limit {
    rate_shares::Limit {
        per_s,
        window: time::Duration::from_secs(1),
    }
}

/// Returns the share of each entry that has sent nothing.
fn shares(members: &relays::Members, limit: rate_shares::Limit) -> Vec<usize> {
    let shares = members.keys().map(|own| {
        let sharers = rate_shares::Sharers {
            own,
            members,
            revision: 1,
        };
        rate_shares::RateShares::default().left(SERVER, limit, sharers, fixtures::START)
    });
    shares.collect()
}

#[gtest]
fn shares_of_all_entries_add_up_to_the_limit() -> Result<()> {
    for (entries, per_s, expected) in [(7, 36.0, 36), (7, 1.5, 1), (195, 14.0, 14), (1, 0.2, 1)] {
        let members = fixtures::members(entries);

        let shares = shares(&members, per_second(per_s));

        let (least, most) = (shares.iter().min(), shares.iter().max());
        expect_that!(shares.iter().sum::<usize>(), eq(expected));
        expect_that!(most.unwrap() - least.unwrap(), le(1));
    }
    Ok(())
}

#[gtest]
fn share_that_was_used_is_left_again_after_the_window() -> Result<()> {
    let members = fixtures::members(1);
    let sharers = rate_shares::Sharers {
        own: "entry-0",
        members: &members,
        revision: 1,
    };
    let limit = per_second(2.0);
    let mut entry = rate_shares::RateShares::default();
    entry.record_sent(SERVER, fixtures::START);
    entry.record_sent(SERVER, fixtures::START);

    let now = entry.left(SERVER, limit, sharers, fixtures::START);
    let later = fixtures::START + time::Duration::from_secs(1);
    let then = entry.left(SERVER, limit, sharers, later);

    verify_that!((now, then), eq((0, 2)))
}

#[gtest]
fn entry_that_knows_of_no_registered_entries_has_no_share() -> Result<()> {
    let members = relays::Members::new();
    let sharers = rate_shares::Sharers {
        own: "entry-0",
        members: &members,
        revision: 0,
    };

    let left =
        rate_shares::RateShares::default().left(SERVER, per_second(36.0), sharers, fixtures::START);

    verify_that!(left, eq(0))
}

#[gtest]
fn shares_follow_the_registered_entries() -> Result<()> {
    let mut entry = rate_shares::RateShares::default();
    let (before, after) = (fixtures::members(1), fixtures::members(36));
    let sharers = |members, revision| rate_shares::Sharers {
        own: "entry-0",
        members,
        revision,
    };

    let alone = entry.left(
        SERVER,
        per_second(36.0),
        sharers(&before, 1),
        fixtures::START,
    );
    let shared = entry.left(
        SERVER,
        per_second(36.0),
        sharers(&after, 2),
        fixtures::START,
    );

    verify_that!((alone, shared), eq((36, 1)))
}

#[gtest]
fn advertised_limit_is_counted_in_a_second_where_it_gives_each_entry_a_request() -> Result<()> {
    let window =
        |per_s, entries| rate_shares::Limit::advertised(per_s, &fixtures::members(entries)).window;

    expect_that!(window(7.0, 7), eq(time::Duration::from_secs(1)));
    expect_that!(window(6.9, 7), eq(time::Duration::from_secs(4)));
    verify_that!(window(0.2, 1), eq(time::Duration::from_secs(4)))
}
