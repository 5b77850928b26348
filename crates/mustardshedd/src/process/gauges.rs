//! Totals of bytes and of calls on the platform, sent to the collector of metrics.

use std::{sync, time};

use crate::{http::operator, log::metrics};

/// Time between two sendings.
const INTERVAL: time::Duration = time::Duration::from_secs(10);

/// Starts to send the totals on the current runtime.
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
