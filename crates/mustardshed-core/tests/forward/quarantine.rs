//! Quarantine of prompt parts that crash servers.

use std::time;

use googletest::prelude::*;
use mustardshed_core::{forward::quarantine, ids};
use proptest::{collection, sample, strategy::Strategy};

use crate::fixtures;

fn millis(ms: u64) -> ids::Timestamp {
    time::Duration::from_millis(ms)
}

fn parts(names: &str) -> Vec<ids::PromptPartId> {
    names.split(' ').map(str::to_owned).collect()
}

/// Returns a crash under requests with these parts, the last of which is the request's own.
fn crash(server: &str, at_ms: u64, suspects: &[&str]) -> quarantine::Crash {
    let suspects = suspects.iter().map(|names| parts(names));
    quarantine::Crash {
        server: server.to_owned(),
        started_unix_ms: None,
        at: millis(at_ms),
        suspects: suspects
            .filter_map(|parts| quarantine::Suspect::new(&parts))
            .collect(),
    }
}

/// Records crashes of different servers, half a second apart from `from_ms` on.
fn record(quarantine: &mut quarantine::Quarantine, from_ms: u64, crashes: &[&[&str]]) {
    for (i, suspects) in (0..).zip(crashes) {
        let at_ms = from_ms + 500 * i;
        let crash = crash(&format!("i-{at_ms}"), at_ms, suspects);
        quarantine.record_crash(crash, millis(at_ms));
    }
}

fn rejects(quarantine: &quarantine::Quarantine, shared: &str) -> bool {
    quarantine
        .remaining(&parts(shared), millis(10_000))
        .is_some()
}

#[gtest]
fn part_of_three_requests_that_crashed_servers_is_quarantined() -> Result<()> {
    let mut quarantine = quarantine::Quarantine::default();
    quarantine.record_answer(&parts("caller"), millis(900));

    record(&mut quarantine, 1_000, &[&["dead a"], &["dead b", "x y"]]);
    let is_rejected_early = rejects(&quarantine, "dead");
    record(&mut quarantine, 2_000, &[&["dead c"]]);

    expect_that!(is_rejected_early, eq(false));
    expect_that!(rejects(&quarantine, "dead"), eq(true));
    verify_that!(rejects(&quarantine, "x"), eq(false))
}

// Guards against the rejection of sound requests that share other parts with those that crash
// servers (LOST).
#[gtest]
fn requests_with_only_some_of_the_parts_are_not_rejected() -> Result<()> {
    let mut quarantine = quarantine::Quarantine::default();
    record(
        &mut quarantine,
        1_000,
        &[
            &["caller dead a"],
            &["caller z", "caller dead b"],
            &["caller dead c"],
        ],
    );
    let before = ["caller dead", "caller sound", "other dead"].map(|it| rejects(&quarantine, it));

    let told = quarantine.record_answer(&parts("caller sound"), millis(2_500));

    let after = ["caller dead", "caller sound", "other dead"].map(|it| rejects(&quarantine, it));
    expect_that!(before, eq([true, false, false]));
    expect_that!(told, eq(&parts("caller")));
    verify_that!(after, eq([true, false, true]))
}

#[gtest]
fn servers_that_are_lost_together_blame_no_part() -> Result<()> {
    let mut quarantine = quarantine::Quarantine::default();

    for round in 0..4 {
        let at = 1_000 * round + 500;
        for server in 0..8 {
            let suspect = format!("common own-{round}-{server}");
            let crash = crash(&format!("i-{server}"), at, &[&suspect]);
            quarantine.record_crash(crash, millis(at));
        }
        quarantine.record_answer(&parts("common"), millis(at + 100));
    }

    verify_that!(rejects(&quarantine, "common"), eq(false))
}

#[gtest]
fn request_that_is_repeated_blames_no_part() -> Result<()> {
    let mut quarantine = quarantine::Quarantine::default();

    record(&mut quarantine, 1_000, &[&["book a"][..]; 6]);

    verify_that!(rejects(&quarantine, "book"), eq(false))
}

#[gtest]
fn two_parts_that_crash_servers_are_both_quarantined() -> Result<()> {
    let mut quarantine = quarantine::Quarantine::default();

    record(
        &mut quarantine,
        1_000,
        &[
            &["one a"],
            &["two b"],
            &["two c", "sound x"],
            &["one d"],
            &["one e"],
            &["two f"],
        ],
    );

    let rejected = ["one", "two", "sound"].map(|it| rejects(&quarantine, it));
    verify_that!(rejected, eq([true, true, false]))
}

#[gtest]
fn part_of_requests_beside_those_that_crash_servers_is_not_blamed() -> Result<()> {
    let mut quarantine = quarantine::Quarantine::default();
    record(
        &mut quarantine,
        1_000,
        &[
            &["dead a", "book x"],
            &["dead b", "book y"],
            &["dead c", "book z"],
        ],
    );
    let is_book_rejected_early = rejects(&quarantine, "book");

    record(&mut quarantine, 2_500, &[&["dead d"]]);

    expect_that!(is_book_rejected_early, eq(false));
    expect_that!(rejects(&quarantine, "dead"), eq(true));
    verify_that!(rejects(&quarantine, "book"), eq(false))
}

#[gtest]
fn answer_that_only_one_entry_got_clears_a_part_everywhere() -> Result<()> {
    let mut one = quarantine::Quarantine::default();
    let mut other = quarantine::Quarantine::default();
    let crashes = [["book a"], ["book b"], ["book c"]];
    record(&mut one, 1_000, &crashes.each_ref().map(|it| &it[..]));
    let was_rejected = rejects(&one, "book");
    other.record_answer(&parts("book"), millis(2_100));

    let culprit = one.culprits()[0].clone();
    let findings = other.adopt(culprit, millis(2_200));
    one.record_peer_answer(&findings.sound, millis(2_200));

    expect_that!(was_rejected, eq(true));
    expect_that!(findings.sound, eq(&parts("book")));
    verify_that!(
        [rejects(&one, "book"), rejects(&other, "book")],
        eq([false, false])
    )
}

#[gtest]
fn answer_from_before_the_crashes_clears_nothing() -> Result<()> {
    let mut quarantine = quarantine::Quarantine::default();
    record(
        &mut quarantine,
        1_000,
        &[&["dead a"], &["dead b"], &["dead c"]],
    );

    quarantine.record_peer_answer(&parts("dead"), millis(900));

    verify_that!(rejects(&quarantine, "dead"), eq(true))
}

#[gtest]
fn reports_of_several_entries_are_about_one_crash() -> Result<()> {
    let mut quarantine = quarantine::Quarantine::default();

    for (i, own) in ["a", "b", "c", "d"].iter().enumerate() {
        let at = 1_000 + 210 * u64::try_from(i)?;
        let crash = crash("i-1", at, &[&format!("part {own}")]);
        quarantine.record_crash(crash, millis(at));
    }

    expect_that!(quarantine.crashes().count(), eq(1));
    verify_that!(rejects(&quarantine, "part"), eq(false))
}

#[gtest]
fn what_is_kept_is_bounded_and_expires() -> Result<()> {
    let mut quarantine = quarantine::Quarantine::default();

    for i in 0..500 {
        let (at, part) = (1_000 + 500 * i, i / 3);
        let suspects: Vec<String> = (0..200).map(|own| format!("p{part} {i}-{own}")).collect();
        let suspects: Vec<&str> = suspects.iter().map(String::as_str).collect();
        let crash = crash(&format!("i-{i}"), at, &suspects);
        quarantine.record_crash(crash, millis(at));
    }
    let most_suspects = quarantine.crashes().map(|crash| crash.suspects.len()).max();
    let counts = (quarantine.crashes().count(), quarantine.culprits().len());
    quarantine.expire(millis(2_000_000));

    expect_that!(counts, eq((64, 64)));
    expect_that!(most_suspects, some(le(64)));
    verify_that!(
        (quarantine.crashes().count(), quarantine.culprits().len()),
        eq((0, 0))
    )
}

// Guards against the rejection of sound requests under which servers only seemed to crash (LOST).
#[gtest]
fn part_is_released_if_too_few_crashes_are_left() -> Result<()> {
    let mut quarantine = quarantine::Quarantine::default();
    record(
        &mut quarantine,
        1_000,
        &[&["sound a"], &["sound b"], &["sound c"]],
    );
    record(
        &mut quarantine,
        3_000,
        &[&["dead a"], &["dead b"], &["dead c"], &["dead d"]],
    );
    let was_rejected = rejects(&quarantine, "sound");

    let is_refuted = |crash: &quarantine::Crash| ["i-1500", "i-3500"].contains(&&*crash.server);
    let withdrawn = quarantine.withdraw(is_refuted, millis(9_000));

    expect_that!(was_rejected, eq(true));
    expect_that!(withdrawn.len(), eq(2));
    expect_that!(rejects(&quarantine, "sound"), eq(false));
    verify_that!(rejects(&quarantine, "dead"), eq(true))
}

// Guards against entries that loop without end over crashes under requests of one session that share
// their own part and differ before it (CONFIG).
#[gtest]
fn parts_that_never_occur_in_one_request_are_not_blamed_together() -> Result<()> {
    let mut quarantine = quarantine::Quarantine::default();

    record(
        &mut quarantine,
        1_000,
        &[
            &["class one s1", "class two s1"],
            &["class one s2", "class two s2"],
            &["class one s3", "class two s3"],
        ],
    );
    let is_rejected_early = ["class one", "class two"].map(|it| rejects(&quarantine, it));
    quarantine.record_answer(&parts("class two"), millis(2_500));
    record(&mut quarantine, 3_000, &[&["class one s4"]]);

    expect_that!(is_rejected_early, eq([false, false]));
    verify_that!(
        ["class one", "class two"].map(|it| rejects(&quarantine, it)),
        eq([true, false])
    )
}

/// Crashes with the time since the one before in milliseconds and the parts of their suspects, of
/// which those of one session share their own part.
fn any_crashes() -> impl Strategy<Value = Vec<(u64, Vec<String>)>> {
    let shared = sample::subsequence(vec!["one", "two", "three"], 1..=2);
    let own = sample::select(vec!["a", "b", "c", "d", "e", "f"]);
    let session = (own, collection::vec(shared, 1..=3)).prop_map(|(own, requests)| {
        let requests = requests.iter();
        let requests = requests.map(|shared| format!("{} {own}", shared.join(" ")));
        requests.collect::<Vec<String>>()
    });
    let suspects = collection::vec(session, 1..=2).prop_map(|sessions| sessions.concat());
    collection::vec((150..600_u64, suspects), 3..8)
}

proptest::proptest! {
    #![proptest_config(fixtures::property_config())]

    // Guards against culprits that explain no crash, with which an entry does not stop to look for
    // more (CONFIG).
    #[test]
    fn each_culprit_is_part_of_one_request_that_crashed_a_server(
        crashes in any_crashes(),
        answered in sample::select(vec!["one", "two", "five"]),
    ) {
        let mut quarantine = quarantine::Quarantine::default();
        let mut suspects = Vec::new();
        let mut at_ms = 1_000;
        for (i, (after_ms, names)) in crashes.iter().enumerate() {
            at_ms += after_ms;
            let names: Vec<&str> = names.iter().map(String::as_str).collect();
            let crash = crash(&format!("i-{i}"), at_ms, &names);
            suspects.extend(crash.suspects.clone());

            quarantine.record_crash(crash, millis(at_ms));
            if i == 3 {
                quarantine.record_answer(&parts(answered), millis(at_ms));
            }
        }
        quarantine.withdraw(|crash| crash.server == "i-1", millis(at_ms));

        for culprit in quarantine.culprits() {
            let has_all = |suspect: &quarantine::Suspect| {
                culprit.parts.iter().all(|part| suspect.shared.contains(part))
            };
            proptest::prop_assert!(suspects.iter().any(has_all), "{culprit:?}");
        }
    }
}
