//! Assembly: any interleaving of late, duplicated, missing and other requests' frames yields each
//! token once, in order.

use std::env;

use googletest::prelude::*;
use mustardshed_core::{
    boundary::backend_server,
    request::assembly::{Assembly, Step},
};
use proptest::{
    prelude::{Just, Strategy, prop_oneof, proptest},
    test_runner,
};

const ID: &str = "e1.1.1";
/// Cases of the default run.
const CASES: u32 = 256;
/// Seed of the default run.
const SEED: u64 = 1;

/// What the network does next.
#[derive(Clone, Copy, Debug)]
enum Network {
    /// Deliver the next frame of the stream.
    Next,
    /// Deliver again the frame that came this many frames before.
    Again(u64),
    /// Deliver a frame of another request at this offset.
    Crossed(u64),
    /// Lose this many frames.
    Lose(u64),
}

fn network() -> impl Strategy<Value = Network> {
    prop_oneof![
        4 => Just(Network::Next),
        2 => (0..8_u64).prop_map(Network::Again),
        2 => (0..40_u64).prop_map(Network::Crossed),
        1 => (1..4_u64).prop_map(Network::Lose),
    ]
}

fn frame(id: &str, offset: u64, len: u64) -> backend_server::TokenFrame {
    backend_server::TokenFrame {
        id: id.to_owned(),
        offset,
        text: format!("{id} {offset}"),
        finish: (offset + 1 == len).then(|| "length".to_owned()),
        epoch: 1,
    }
}

/// Sends an output of `len` tokens over a network; resumes it after a gap or a lost end.
fn transmit(len: u64, network: &[Network]) -> (Vec<String>, Assembly) {
    let mut assembly = Assembly::new(ID.to_owned());
    let mut delivered = Vec::new();
    let mut cursor = 0;
    let fault_free = std::iter::repeat_n(Network::Next, 4 * (len as usize + network.len()));
    for event in network.iter().copied().chain(fault_free) {
        if cursor >= len {
            cursor = assembly.next_offset();
        }
        let frame = match event {
            Network::Next => {
                cursor += 1;
                frame(ID, cursor - 1, len)
            }
            Network::Again(frames_ago) => frame(ID, cursor.saturating_sub(frames_ago + 1), len),
            Network::Crossed(offset) => frame("e9.9.9", offset, len),
            Network::Lose(count) => {
                cursor += count;
                continue;
            }
        };
        match assembly.accept(&frame) {
            Step::Deliver | Step::Finish => delivered.push(frame.text),
            Step::Gap => cursor = assembly.next_offset(),
            Step::Drop => {}
        }
    }
    (delivered, assembly)
}

/// Returns the default run from a fixed seed, unless environment variables override it.
fn config() -> test_runner::Config {
    test_runner::Config {
        cases: setting("MUSTARDSHED_CASES").unwrap_or(CASES),
        rng_seed: test_runner::RngSeed::Fixed(setting("MUSTARDSHED_SEED").unwrap_or(SEED)),
        failure_persistence: None,
        ..test_runner::Config::default()
    }
}

fn setting<T: std::str::FromStr>(name: &str) -> Option<T> {
    env::var(name).ok()?.parse().ok()
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn each_token_comes_once_and_in_order(
        len in 1..40_u64,
        network in proptest::collection::vec(network(), 0..120),
    ) {
        let (delivered, assembly) = transmit(len, &network);

        let expected: Vec<_> = (0..len).map(|offset| format!("{ID} {offset}")).collect();
        proptest::prop_assert_eq!(delivered, expected);
        proptest::prop_assert!(assembly.is_finished());
    }
}

#[gtest]
fn frame_of_another_request_is_dropped() -> Result<()> {
    let mut assembly = Assembly::new(ID.to_owned());

    let step = assembly.accept(&frame("e9.9.9", 0, 2));

    verify_that!(step, eq(&Step::Drop))?;
    verify_that!(assembly.next_offset(), eq(0))
}

#[gtest]
fn nothing_follows_the_last_token() -> Result<()> {
    let mut assembly = Assembly::new(ID.to_owned());
    assembly.accept(&frame(ID, 0, 1));

    let step = assembly.accept(&frame(ID, 1, 3));

    verify_that!(step, eq(&Step::Drop))
}
