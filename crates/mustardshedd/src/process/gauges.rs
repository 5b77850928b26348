//! Gauges of bytes and of platform calls, sent to the metrics collector.

use std::{sync, time};

use crate::{http::operator, log::metrics};

/// Interval at which the gauges are sent.
const INTERVAL: time::Duration = time::Duration::from_secs(10);

/// Starts to send the gauges, from a task on the current runtime.
pub fn spawn(metrics: metrics::Metrics, operator: sync::Arc<dyn operator::Operator>) {
    tokio::spawn(async move {
        loop {
            for (purpose, calls) in operator.platform_calls() {
                metrics.set(&format!("platform_calls.{purpose}"), calls);
            }
            for (direction, bytes) in operator.bytes() {
                metrics.set(&format!("bytes.{direction}"), bytes);
            }
            tokio::time::sleep(INTERVAL).await;
        }
    });
}
