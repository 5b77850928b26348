//! Claims as JSON.

use std::time;

use bytes::Bytes;
use googletest::prelude::*;
use mustardshed_core::{error, outcome, request::claim, request::fate};
use mustardshed_wire::claim as wire;

fn value(body_len: usize) -> claim::Value {
    claim::Value {
        request: "e1.1.2".into(),
        body_digest: [9; 32],
        created_at: time::Duration::from_millis(1_700_000_000_123),
        fate: Some(fate::Fate {
            request: "e1.1.2".into(),
            account: "c".into(),
            outcome: outcome::Outcome::Failed,
            error: Some(error::ErrorKind::BackendServerFailed),
            servers: vec!["s1".into()],
            stored_response: Some(fate::StoredResponse {
                status: 502,
                content_type: Some("application/json".into()),
                body: Bytes::from(vec![b'x'; body_len]),
            }),
        }),
    }
}

#[gtest]
fn claim_round_trips() {
    let value = value(10);

    let decoded = wire::decode(&wire::encode(&value).unwrap()).unwrap();

    expect_that!(decoded, eq(&value));
}

#[gtest]
fn too_large_response_is_not_stored() {
    let value = value(wire::MAX_BODY_BYTES + 1);

    let decoded = wire::decode(&wire::encode(&value).unwrap()).unwrap();

    expect_that!(decoded.fate.unwrap().stored_response, none());
}

#[gtest]
fn unknown_outcome_is_refused() {
    let text = String::from_utf8(wire::encode(&value(1)).unwrap()).unwrap();

    let result = wire::decode(text.replace("failed", "paid").as_bytes());

    expect_that!(result.is_err(), is_true());
}
