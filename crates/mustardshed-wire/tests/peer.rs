//! Frames between entry processes: round trips, bounds and the handshake.

use std::{collections, time};

use bytes::Bytes;
use googletest::prelude::*;
use mustardshed_core::{
    boundary::{backend_server, control},
    error, outcome,
    process::message,
    request::fate,
    version::record,
};
use mustardshed_wire::peer;
use proptest::prelude::{Just, Strategy, any, prop_oneof};

fn name() -> impl Strategy<Value = String> {
    "[a-z0-9.-]{1,24}"
}

fn duration() -> impl Strategy<Value = time::Duration> {
    any::<u64>().prop_map(time::Duration::from_nanos)
}

fn record() -> impl Strategy<Value = record::Record> {
    (
        1..u64::MAX,
        ".{0,40}",
        proptest::collection::btree_set(name(), 0..3),
        name(),
        name(),
    )
        .prop_map(
            |(generation, text, data_centres_out, nonce, author)| record::Record {
                generation,
                text,
                data_centres_out,
                nonce,
                author,
            },
        )
}

fn report() -> impl Strategy<Value = backend_server::LoadReport> {
    (any::<[u64; 5]>(), any::<[bool; 2]>(), any::<u32>(), name()).prop_map(
        |(numbers, flags, running, model)| backend_server::LoadReport {
            epoch: numbers[0],
            warmth: if flags[0] {
                backend_server::Warmth::Warm
            } else {
                backend_server::Warmth::Cold
            },
            leaving: flags[1],
            age: time::Duration::from_nanos(numbers[1]),
            memory_tokens: numbers[2],
            used_tokens: numbers[3],
            queued_prefill_tokens: numbers[4],
            running,
            models: collections::BTreeMap::from([(model, "1".to_owned())]),
            held: Vec::new(),
        },
    )
}

fn fact() -> impl Strategy<Value = message::Fact> {
    let alive = (name(), name(), name(), any::<bool>(), any::<u64>()).prop_map(
        |(address, peer_address, data_centre, leaving, generation)| message::FactBody::Alive {
            address,
            peer_address,
            data_centre,
            leaving,
            generation,
        },
    );
    let still_alive = (any::<bool>(), any::<u64>()).prop_map(|(leaving, generation)| {
        message::FactBody::StillAlive {
            leaving,
            generation,
        }
    });
    let busy = (0..=10_u8).prop_map(|level| message::FactBody::Busy { level });
    let load = (
        name(),
        proptest::option::of(report()),
        0.0..1e9,
        any::<u64>(),
        any::<u32>(),
    )
        .prop_map(|(server, report, speed, credited_tokens, credits)| {
            message::FactBody::Load {
                server,
                report,
                prefill_tokens_per_second: speed,
                credited_tokens,
                credits,
            }
        });
    (
        name(),
        any::<u64>(),
        any::<u64>(),
        duration(),
        prop_oneof![alive, still_alive, busy, load],
    )
        .prop_map(|(author, incarnation, version, age, body)| message::Fact {
            author,
            incarnation,
            version,
            age,
            body,
        })
}

fn feedback() -> impl Strategy<Value = control::Feedback> {
    let failure = prop_oneof![
        ".{0,40}".prop_map(backend_server::BackendServerError::Refused),
        ".{0,40}".prop_map(backend_server::BackendServerError::Unreachable),
        ".{0,40}".prop_map(backend_server::BackendServerError::Broken),
    ];
    (
        name(),
        name(),
        any::<u64>(),
        proptest::option::of(duration()),
        proptest::option::of(any::<u64>()),
        proptest::option::of(failure),
    )
        .prop_map(
            |(request, server, prefill_tokens, first_token, epoch, failure)| control::Feedback {
                request,
                server,
                prefill_tokens,
                first_token,
                epoch,
                failure,
            },
        )
}

fn credit_request() -> impl Strategy<Value = control::CreditRequest> {
    (
        name(),
        name(),
        name(),
        any::<[u64; 2]>(),
        any::<u32>(),
        any::<bool>(),
    )
        .prop_map(|(request, account, server, tokens, priority, gang)| {
            control::CreditRequest {
                request,
                account,
                server,
                tokens: tokens[0],
                prefill_tokens: tokens[1],
                priority,
                wait_until: time::Duration::ZERO,
                gang,
            }
        })
}

fn refusal() -> impl Strategy<Value = error::Error> {
    (
        0..error::ErrorKind::ALL.len(),
        ".{0,40}",
        proptest::option::of(duration()),
    )
        .prop_map(|(index, message, retry_after)| error::Error {
            kind: error::ErrorKind::ALL[index],
            message,
            outcome: outcome::Outcome::NotRun,
            retry_after,
        })
}

fn fate() -> impl Strategy<Value = fate::Fate> {
    let response = (any::<u16>(), proptest::option::of(name()), any::<Vec<u8>>()).prop_map(
        |(status, content_type, body)| fate::StoredResponse {
            status,
            content_type,
            body: Bytes::from(body),
        },
    );
    (name(), name(), proptest::option::of(response)).prop_map(|(request, account, response)| {
        fate::Fate {
            request,
            account,
            outcome: outcome::Outcome::Completed,
            error: Some(error::ErrorKind::FateUnknown),
            servers: vec!["s1".to_owned()],
            stored_response: response,
        }
    })
}

fn any_message() -> impl Strategy<Value = message::Message> {
    use message::Message;
    prop_oneof![
        (
            duration(),
            any::<u64>(),
            proptest::collection::vec(fact(), 0..4)
        )
            .prop_map(|(sent_at, generation, facts)| {
                Message::Heartbeat(message::Heartbeat {
                    sent_at,
                    generation,
                    facts,
                })
            }),
        (
            duration(),
            proptest::option::of(duration()),
            any::<[bool; 2]>(),
            any::<u64>(),
            proptest::collection::vec(record(), 0..2),
            proptest::collection::vec(name(), 0..3),
            proptest::collection::vec(name(), 0..3),
        )
            .prop_map(
                |(echo, confirmation_age, flags, generation, intents, wants, declines)| {
                    Message::HeartbeatAck(message::HeartbeatAck {
                        echo,
                        confirmation_age,
                        platform_answers: flags[0],
                        can_vote: flags[1],
                        generation,
                        intents,
                        wants,
                        declines,
                    })
                }
            ),
        any::<u64>().prop_map(|newer_than| Message::WantConfiguration { newer_than }),
        record().prop_map(Message::Configuration),
        record().prop_map(Message::Intent),
        (any::<u64>(), credit_request(), duration()).prop_map(|(ticket, req, timeout)| {
            Message::Acquire {
                ticket,
                req,
                timeout,
            }
        }),
        (
            any::<u64>(),
            name(),
            name(),
            duration(),
            proptest::result::maybe_ok(any::<u64>(), refusal())
        )
            .prop_map(
                |(ticket, request, server, waited, result)| Message::Acquired {
                    ticket,
                    request,
                    server,
                    waited,
                    result
                }
            ),
        name().prop_map(|server| Message::WantHeldCredits { server }),
        (name(), name(), feedback()).prop_map(|(request, server, feedback)| Message::Release {
            request,
            server,
            feedback
        }),
        (
            name(),
            proptest::collection::vec((name(), any::<u64>()), 0..4)
        )
            .prop_map(|(server, credits)| {
                Message::HeldCredits {
                    server,
                    credits: credits
                        .into_iter()
                        .map(|(request, tokens)| message::HeldCredit { request, tokens })
                        .collect(),
                }
            }),
        (name(), any::<u64>()).prop_map(|(server, epoch)| Message::ColdSign { server, epoch }),
        (any::<u64>(), name()).prop_map(|(ticket, request)| Message::WantFate { ticket, request }),
        (Just(9_u64), proptest::option::of(fate()))
            .prop_map(|(ticket, fate)| Message::FateIs { ticket, fate }),
    ]
}

proptest::proptest! {
    #![proptest_config(proptest::test_runner::Config {
        rng_seed: proptest::test_runner::RngSeed::Fixed(4),
        failure_persistence: None,
        ..Default::default()
    })]

    #[test]
    fn message_round_trips(message in any_message()) {
        let buf = peer::encode(&message).unwrap();

        let decoded = peer::decode(&buf).unwrap();

        proptest::prop_assert_eq!(decoded, message);
    }

    #[test]
    fn decoding_arbitrary_bytes_does_not_panic(buf in any::<Vec<u8>>()) {
        let _ = peer::decode(&buf);
        let _ = peer::Hello::decode(&buf);
        let _ = peer::Proof::decode(&buf);
    }
}

#[gtest]
fn frame_over_the_limit_is_refused() {
    let buf = vec![0; peer::MAX_FRAME_BYTES + 1];

    let result = peer::decode(&buf);

    expect_that!(result, err(eq(&peer::Error::TooLarge(buf.len()))));
}

#[gtest]
fn list_over_its_bound_is_refused() {
    let fact = message::Fact {
        author: "a".into(),
        incarnation: 1,
        version: 1,
        age: time::Duration::ZERO,
        body: message::FactBody::Load {
            server: "s".into(),
            report: None,
            prefill_tokens_per_second: 1.0,
            credited_tokens: 0,
            credits: 0,
        },
    };
    let buf = peer::encode(&message::Message::Heartbeat(message::Heartbeat {
        sent_at: time::Duration::ZERO,
        generation: 1,
        facts: vec![fact; 2000],
    }))
    .unwrap();

    let result = peer::decode(&buf);

    expect_that!(result, err(eq(&peer::Error::OutOfBounds("facts"))));
}

#[gtest]
fn busy_level_beyond_the_highest_is_refused() {
    let fact = message::Fact {
        author: "a".into(),
        incarnation: 1,
        version: 1,
        age: time::Duration::ZERO,
        body: message::FactBody::Busy { level: 11 },
    };
    let heartbeat = message::Heartbeat {
        sent_at: time::Duration::ZERO,
        generation: 1,
        facts: vec![fact],
    };
    let buf = peer::encode(&message::Message::Heartbeat(heartbeat)).unwrap();

    let result = peer::decode(&buf);

    expect_that!(result, err(eq(&peer::Error::OutOfBounds("level"))));
}

#[gtest]
fn proof_is_valid_for_one_key_direction_and_link() {
    let a = peer::Hello::new("a".into(), 1, [1; 32]);
    let b = peer::Hello::new("b".into(), 2, [2; 32]);
    let later = peer::Hello::new("b".into(), 2, [3; 32]);

    let proof = peer::Proof::decode(&peer::Proof::new(b"key", &a, &b).encode().unwrap()).unwrap();

    expect_that!(proof.verify(b"key", &a, &b), ok(anything()));
    expect_that!(proof.verify(b"other", &a, &b), err(anything()));
    expect_that!(proof.verify(b"key", &b, &a), err(anything()));
    expect_that!(proof.verify(b"key", &a, &later), err(anything()));
}

#[gtest]
fn hello_of_another_version_is_refused() {
    let mut hello = peer::Hello::new("a".into(), 1, [1; 32]);
    hello.version += 1;

    let result = peer::Hello::decode(&hello.encode().unwrap());

    expect_that!(result, err(eq(&peer::Error::Version(hello.version))));
}

#[gtest]
fn hmac_matches_the_vectors_of_rfc_4231() {
    let cases: [(&[u8], &[u8], &str); 3] = [
        (
            &[0x0b; 20],
            b"Hi There",
            "b0344c61d8db38535ca8afceaf0bf12b881dc200c9833da726e9376c2e32cff7",
        ),
        (
            b"Jefe",
            b"what do ya want for nothing?",
            "5bdcc146bf60754e6a042426089575c75a003f089d2739839dec58b964ec3843",
        ),
        (
            &[0xaa; 131],
            b"Test Using Larger Than Block-Size Key - Hash Key First",
            "60e431591ee0b67f0d8a26aacbf5b77f8e0bc6213728c5140546040f0ee37f54",
        ),
    ];
    for (key, data, expected) in cases {
        let code = peer::hmac::sign(key, &[data]);

        let hex: String = code.iter().map(|byte| format!("{byte:02x}")).collect();
        expect_that!(hex, eq(expected));
    }
}
