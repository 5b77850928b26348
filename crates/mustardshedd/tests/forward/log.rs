//! Log output as JSON lines.

use std::{io, sync, time};

use googletest::prelude::*;
use mustardshedd::log::{event, lines};

use crate::fixture;

fn refused(request: &str) -> event::Event<'_> {
    event::Event::ForwardRefused {
        request,
        status: 503,
        reason: "the backend servers are \"full\"",
        retry_after_ms: 250,
        version: 7,
        age_ms: 12,
        elapsed_ms: 1,
    }
}

/// Output that blocks all writes until it is unblocked, like a pipe without a reader.
#[derive(Clone, Debug)]
struct Pipe {
    is_unblocked: sync::Arc<(sync::Mutex<bool>, sync::Condvar)>,
    written: sync::Arc<sync::Mutex<Vec<u8>>>,
}

impl Pipe {
    fn blocked() -> Self {
        Self {
            is_unblocked: sync::Arc::new((sync::Mutex::new(false), sync::Condvar::new())),
            written: sync::Arc::default(),
        }
    }

    fn unblock(&self) {
        *self.is_unblocked.0.lock().unwrap() = true;
        self.is_unblocked.1.notify_all();
    }
}

impl io::Write for Pipe {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        let (is_unblocked, changed) = &*self.is_unblocked;
        let guard = is_unblocked.lock().unwrap();
        drop(
            changed
                .wait_while(guard, |is_unblocked| !*is_unblocked)
                .unwrap(),
        );
        self.written.lock().unwrap().extend_from_slice(buf);
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[gtest]
fn line_is_one_json_object() -> Result<()> {
    let line = lines::line(&refused("r-1"));

    let parsed: serde_json::Value = serde_json::from_str(&line).unwrap();
    expect_that!(line.lines().count(), eq(1));
    expect_that!(parsed["event"].as_u64(), some(eq(1202)));
    expect_that!(parsed["request"].as_str(), some(eq("r-1")));
    expect_that!(parsed["status"].as_u64(), some(eq(503)));
    verify_that!(
        parsed["reason"].as_str(),
        some(contains_substring("\"full\""))
    )
}

// Guards against lines as large as an object of another writer whose name or value they tell.
#[gtest]
fn long_text_is_cut() -> Result<()> {
    let long = "é".repeat(1_000_000);

    let line = lines::line(&refused(&long));
    let short = lines::line(&refused(&long[..2_000]));

    expect_that!(line.len(), lt(20_000));
    expect_that!(line, contains_substring("é…\""));
    verify_that!(short, contains_substring(&long[..2_000]))
}

#[gtest]
fn blocked_output_does_not_block_emitting_and_lost_lines_are_counted() -> Result<()> {
    let pipe = Pipe::blocked();
    let lines = lines::Lines::open(pipe.clone()).unwrap();

    // Writes block until `unblock`; if emitting waited for them, this loop would hang.
    for i in 0..20_000 {
        lines.emit(&refused(&format!("r-{i}")));
    }

    let lost = lines.lost();
    pipe.unblock();
    verify_that!(lost.thinned + lost.dropped, gt(10_000))
}

#[gtest]
#[tokio::test]
async fn thinned_lines_are_counted_in_the_log_itself() -> Result<()> {
    let pipe = Pipe::blocked();
    pipe.unblock();
    let lines = lines::Lines::open(pipe.clone()).unwrap();
    for i in 0..2_000 {
        lines.emit(&refused(&format!("r-{i}")));
    }
    let started_at = time::Instant::now();
    fixture::wait_until("the next second", || {
        started_at.elapsed() > time::Duration::from_millis(1_050)
    })
    .await;

    lines.emit(&refused("last"));
    let written = || String::from_utf8(pipe.written.lock().unwrap().clone()).unwrap();
    fixture::wait_until("the line", || written().contains("\"last\"")).await;

    verify_that!(written(), contains_substring("\"log_thinned\""))
}
