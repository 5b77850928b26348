//! The placement lease as JSON.

use googletest::prelude::*;
use mustardshed_core::{boundary::backend_server, process::placement::record};
use mustardshed_wire::placement as wire;

fn lease(fence: u64) -> record::Record {
    let orders = [
        backend_server::Order::LoadModel {
            model: "m".into(),
            version: "2".into(),
        },
        backend_server::Order::LoadAdapter {
            adapter: "a".into(),
        },
        backend_server::Order::ChangeRole { role: "r".into() },
    ];
    let load = |order| record::WeightLoad {
        server: "s1".into(),
        order,
    };
    record::Record {
        holder: "e1.1".into(),
        fence,
        nonce: 7,
        loads: orders.into_iter().map(load).collect(),
    }
}

#[gtest]
fn lease_round_trips() {
    let record = lease(3);

    let decoded = wire::decode(&wire::encode(&record).unwrap()).unwrap();

    expect_that!(decoded, eq(&record));
}

#[gtest]
fn fencing_number_zero_is_refused() {
    let buf = wire::encode(&lease(0)).unwrap();

    let result = wire::decode(&buf);

    expect_that!(result.is_err(), is_true());
}
