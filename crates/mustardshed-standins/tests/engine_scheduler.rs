//! The engine's scheduler under virtual time.

use std::time;

use googletest::prelude::*;
use mustardshed_standins::engine::{faults, job, progress, prompt, refusal, scheduler, settings};

const START: time::Duration = time::Duration::ZERO;

/// 1,000 prefill tokens a second in chunks of 100, and 10 decode steps a second.
fn engine_settings() -> settings::Settings {
    settings::Settings {
        memory_tokens: 10_000,
        prefill_tps: 1_000.0,
        decode_tps: 10.0,
        chunk_tokens: 100,
        cold_limit: 2,
        warm_after: 2,
        ..settings::Settings::default()
    }
}

fn engine() -> scheduler::Scheduler {
    scheduler::Scheduler::new(engine_settings())
}

fn cold_engine() -> scheduler::Scheduler {
    scheduler::Scheduler::new(settings::Settings {
        start_cold: true,
        ..engine_settings()
    })
}

/// A prompt of `tokens` tokens that shares no prefix with one of another id.
fn request(id: &str, tokens: usize, max_tokens: u64) -> job::Admission {
    let text = id.to_owned() + &" ".repeat(tokens * 4 - id.len());
    job::Admission {
        id: id.to_owned(),
        model: String::from("draft"),
        prompt: prompt::Prompt::of_bytes(text.as_bytes()),
        max_tokens,
        offset: 0,
        priority: 0,
        gang_size: 1,
    }
}

fn gang_request(id: &str, tokens: usize, max_tokens: u64) -> job::Admission {
    job::Admission {
        gang_size: 2,
        ..request(id, tokens, max_tokens)
    }
}

fn ms(n: u64) -> time::Duration {
    time::Duration::from_millis(n)
}

fn produced(handle: &job::Handle) -> u64 {
    handle.progress.borrow().produced
}

fn end(handle: &job::Handle) -> Option<progress::End> {
    handle.progress.borrow().end
}

fn turn_cold() -> faults::FaultChange {
    faults::FaultChange {
        turn_cold: true,
        ..faults::FaultChange::default()
    }
}

#[test]
fn prefill_takes_chunks_and_decode_a_token_a_step() {
    let mut engine = engine();
    let handle = engine.admit(START, request("a", 250, 3)).unwrap();

    // Three chunks of 100, 100 and 50 tokens last 100 ms each, the last one as long as a decode.
    engine.advance(ms(399));
    let before = produced(&handle);
    engine.advance(ms(400));
    let first = produced(&handle);
    engine.advance(ms(600));

    assert_that!((before, first, produced(&handle)), eq((0, 1, 3)));
    assert_that!(end(&handle), some(eq(progress::End::Finished)));
}

#[test]
fn a_step_lasts_as_long_as_its_prefill_if_that_is_longer() {
    let settings = settings::Settings {
        chunk_tokens: 400,
        ..engine_settings()
    };

    assert_that!(settings.step_length(400), eq(ms(400)));
    assert_that!(settings.step_length(50), eq(ms(100)));
}

#[test]
fn a_higher_priority_is_prefilled_first() {
    let mut engine = engine();
    let long = job::Admission {
        priority: 1,
        ..request("long", 1_000, 1)
    };
    let long = engine.admit(START, long).unwrap();
    let short = engine.admit(ms(10), request("short", 100, 1)).unwrap();

    engine.advance(ms(300));

    assert_that!(end(&short), some(eq(progress::End::Finished)));
    assert_that!(end(&long), none());
}

#[test]
fn a_slow_engine_takes_longer_by_the_share_stated() {
    let mut engine = engine();
    let change = faults::FaultChange {
        slow_percent: Some(50),
        ..faults::FaultChange::default()
    };
    engine.change_faults(START, &change);
    let handle = engine.admit(START, request("a", 100, 1)).unwrap();

    engine.advance(ms(299));
    let before = produced(&handle);
    engine.advance(ms(300));

    assert_that!((before, produced(&handle)), eq((0, 1)));
}

#[test]
fn a_cached_prefix_needs_no_prefill() {
    let mut engine = engine();
    engine.admit(START, request("a", 512, 1)).unwrap();
    engine.advance(ms(1_000));
    let repeat = job::Admission {
        id: String::from("b"),
        ..request("a", 512, 1)
    };

    let handle = engine.admit(ms(1_000), repeat).unwrap();
    engine.advance(ms(1_100));

    assert_that!(end(&handle), some(eq(progress::End::Finished)));
}

#[test]
fn memory_is_free_again_after_the_end() {
    let mut engine = engine();
    engine.admit(START, request("a", 100, 2)).unwrap();
    let used = engine.memory().used();

    engine.advance(ms(1_000));

    assert_that!((used, engine.memory().used()), eq((102, 0)));
}

#[test]
fn memory_is_free_again_after_a_cancel() {
    let mut engine = engine();
    let handle = engine.admit(START, request("a", 1_000, 2)).unwrap();

    engine.cancel(ms(50), "a");
    engine.cancel(ms(60), "never heard of");
    engine.advance(ms(5_000));

    assert_that!(end(&handle), some(eq(progress::End::Cancelled)));
    assert_that!(engine.memory().used(), eq(0));
    assert_that!(engine.next_step_at(), none());
}

#[test]
fn memory_is_free_again_after_death() {
    let mut engine = engine();
    let handle = engine.admit(START, request("a", 1_000, 2)).unwrap();
    engine.reserve(START, "b", 500).unwrap();
    let dead = faults::FaultChange {
        dead: Some(true),
        ..faults::FaultChange::default()
    };

    engine.change_faults(ms(50), &dead);

    assert_that!(end(&handle), some(eq(progress::End::Broken)));
    assert_that!(engine.memory().used(), eq(0));
    assert_that!(engine.epoch(), eq(2));
}

#[test]
fn a_request_without_memory_is_refused_and_changes_nothing() {
    let mut engine = engine();
    engine.admit(START, request("a", 6_000, 100)).unwrap();

    let refused = engine.admit(START, request("b", 4_000, 100)).err();

    assert_that!(refused, some(eq(refusal::Refusal::NoMemory)));
    assert_that!(engine.memory().used(), eq(6_100));
}

#[test]
fn a_known_id_is_refused_until_its_output_is_forgotten() {
    let mut engine = engine();
    engine.admit(START, request("a", 100, 1)).unwrap();

    let running = engine.admit(ms(10), request("a", 100, 1)).err();
    let ended = engine.admit(ms(20_000), request("a", 100, 1)).err();
    let forgotten = engine.admit(ms(31_000), request("a", 100, 1)).err();

    assert_that!(running, some(eq(refusal::Refusal::KnownId)));
    assert_that!(ended, some(eq(refusal::Refusal::KnownId)));
    assert_that!(forgotten, none());
}

#[test]
fn a_cold_engine_falls_over_beyond_its_limit() {
    let mut engine = cold_engine();
    let first = engine.admit(START, request("a", 100, 1)).unwrap();
    let second = engine.admit(START, request("b", 100, 1)).unwrap();

    let third = engine.admit(ms(10), request("c", 100, 1)).err();
    let down = engine.admit(ms(5_009), request("d", 100, 1)).err();
    let up = engine.admit(ms(5_010), request("e", 100, 1)).err();

    assert_that!(third, some(eq(refusal::Refusal::FellOver)));
    assert_that!(end(&first), some(eq(progress::End::Broken)));
    assert_that!(end(&second), some(eq(progress::End::Broken)));
    assert_that!(down, some(eq(refusal::Refusal::FellOver)));
    assert_that!(up, none());
    assert_that!(engine.records().fell_over, eq(1));
    assert_that!(engine.epoch(), eq(2));
}

#[test]
fn a_cold_engine_is_slow_until_it_has_finished_enough() {
    let mut engine = cold_engine();
    let first = engine.admit(START, request("a", 100, 1)).unwrap();
    engine.advance(ms(799));
    let before = produced(&first);
    engine.advance(ms(800));
    let after = produced(&first);
    let cold = engine.warmth();

    engine.admit(ms(800), request("b", 100, 1)).unwrap();
    engine.advance(ms(1_600));

    assert_that!((before, after), eq((0, 1)));
    assert_that!(cold, eq(scheduler::Warmth::Cold));
    assert_that!(engine.warmth(), eq(scheduler::Warmth::Warm));
}

#[test]
fn turning_cold_loses_the_cache_but_not_what_runs() {
    let mut engine = engine();
    let handle = engine.admit(START, request("a", 512, 200)).unwrap();
    engine.advance(ms(1_000));

    engine.change_faults(ms(1_000), &turn_cold());

    assert_that!(end(&handle), none());
    assert_that!(engine.epoch(), eq(2));
    assert_that!(engine.warmth(), eq(scheduler::Warmth::Cold));
    let repeat = job::Admission {
        id: String::from("b"),
        ..request("a", 512, 1)
    };
    engine.admit(ms(1_000), repeat).unwrap();
    assert_that!(engine.load().queued_prefill_tokens, eq(512));
}

#[test]
fn a_gang_runs_under_its_reservation_alone() {
    let mut engine = engine();
    let without = engine.admit(START, gang_request("a", 198, 2)).err();
    engine.reserve(START, "a", 99).unwrap();
    let too_small = engine.admit(START, gang_request("a", 198, 2)).err();
    engine.release(START, "a");
    engine.reserve(START, "a", 100).unwrap();

    let handle = engine.admit(START, gang_request("a", 198, 2)).unwrap();
    let used = engine.memory().used();
    engine.advance(ms(10_000));
    let waiting = produced(&handle);
    engine.member_prefilled(ms(10_000), "a");
    engine.advance(ms(10_200));
    engine.release(ms(10_200), "a");

    assert_that!(without, some(eq(refusal::Refusal::NoReservation)));
    assert_that!(too_small, some(eq(refusal::Refusal::NoReservation)));
    assert_that!((used, waiting), eq((100, 0)));
    assert_that!(end(&handle), some(eq(progress::End::Finished)));
    assert_that!(engine.memory().used(), eq(0));
}

#[test]
fn a_part_of_a_gang_takes_the_engines_budget() {
    let mut engine = engine();
    engine.reserve(START, "a", 100).unwrap();
    let part = job::Membership {
        id: String::from("a"),
        prefill_tokens: 100,
        priority: 0,
    };

    let handle = engine.join(START, part).unwrap();
    let other = engine.admit(START, request("b", 100, 1)).unwrap();
    engine.advance(ms(100));
    let (part_done, other_done) = (*handle.progress.borrow(), *other.progress.borrow());
    engine.leave(ms(100), "a");

    assert!(part_done.prefilled && !other_done.prefilled);
    assert_that!(engine.load().running, eq(1));
}

#[test]
fn releasing_a_reservation_cancels_what_runs_under_it() {
    let mut engine = engine();
    engine.reserve(START, "a", 100).unwrap();
    let handle = engine.admit(START, gang_request("a", 198, 2)).unwrap();

    engine.release(ms(10), "a");

    assert_that!(end(&handle), some(eq(progress::End::Cancelled)));
    assert_that!(engine.memory().used(), eq(0));
}

#[test]
fn the_same_reservation_again_changes_nothing() {
    let mut engine = engine();
    engine.reserve(START, "a", 100).unwrap();

    let same = engine.reserve(START, "a", 100);
    let other = engine.reserve(START, "a", 101);
    let too_much = engine.reserve(START, "b", 10_000);

    assert_that!(same, ok(eq(())));
    assert_that!(other, err(eq(refusal::Refusal::KnownId)));
    assert_that!(too_much, err(eq(refusal::Refusal::NoMemory)));
    assert_that!(engine.memory().used(), eq(100));
}

#[test]
fn an_engine_that_leaves_finishes_what_it_runs() {
    let mut engine = engine();
    let handle = engine.admit(START, request("a", 100, 2)).unwrap();
    let leaving = faults::FaultChange {
        leaving: Some(true),
        ..faults::FaultChange::default()
    };
    engine.change_faults(ms(10), &leaving);

    let refused = engine.admit(ms(20), request("b", 100, 1)).err();
    let reserved = engine.reserve(ms(20), "c", 10);
    engine.advance(ms(1_000));

    assert_that!(refused, some(eq(refusal::Refusal::Leaving)));
    assert_that!(reserved, err(eq(refusal::Refusal::Leaving)));
    assert_that!(end(&handle), some(eq(progress::End::Finished)));
}

#[test]
fn an_offset_skips_tokens_that_another_engine_gave() {
    let mut engine = engine();
    let resumed = job::Admission {
        offset: 3,
        ..request("a", 97, 5)
    };

    let handle = engine.admit(START, resumed).unwrap();
    engine.advance(ms(200));

    assert_that!(produced(&handle), eq(4));
}

#[test]
fn a_prompt_of_a_million_tokens_is_scheduled() {
    let settings = settings::Settings {
        memory_tokens: 1_100_000,
        ..engine_settings()
    };
    let mut engine = scheduler::Scheduler::new(settings);

    let handle = engine.admit(START, request("a", 1_000_000, 2)).unwrap();
    engine.advance(time::Duration::from_secs(1_001));

    assert_that!(end(&handle), some(eq(progress::End::Finished)));
    assert_that!(engine.memory().used(), eq(0));
}

fn load_order(fence: u64, version: &str) -> scheduler::OrderRequest {
    let order = serde_json::json!({"load_model": {"model": "draft", "version": version}});
    scheduler::OrderRequest { fence, order }
}

#[test]
fn an_engine_that_checks_refuses_an_older_fencing_number() {
    let mut engine = engine();
    engine.order(START, load_order(7, "2")).unwrap();

    let older = engine.order(START, load_order(6, "1"));
    let same = engine.order(START, load_order(7, "2"));

    assert_that!(older, err(eq(refusal::Refusal::OldFence)));
    assert_that!(same, ok(eq(())));
    assert_that!(engine.load().models["draft"], eq("2"));
}

#[test]
fn an_engine_that_ignores_fencing_numbers_takes_an_older_one() {
    let settings = settings::Settings {
        fencing: settings::Fencing::Ignored,
        ..engine_settings()
    };
    let mut engine = scheduler::Scheduler::new(settings);
    engine.order(START, load_order(7, "2")).unwrap();

    let older = engine.order(START, load_order(6, "1"));

    assert_that!(older, ok(eq(())));
    assert_that!(engine.load().models["draft"], eq("1"));
}
