//! Reading of an output, which is resumed if its stream breaks.

use std::time;

use futures_util::StreamExt;
use mustardshed::core::{boundary::backend_server, ids, request::assembly};

use crate::{
    connection::idle_timer,
    log::{self, event},
    request::{completion::driver, completion::plan, failure, output, placement},
};

/// Greatest number of resumptions in a row that yield no new token.
const MAX_RESUMES: u32 = 3;
/// Shortest timeout for the next token, after which the output is resumed: an engine that no longer
/// has the request refuses.
const MIN_TOKEN_TIMEOUT: time::Duration = time::Duration::from_secs(10);
/// Timeout of the first token, as a multiple of the estimated time to first token.
const FIRST_TOKEN_TIMEOUT_FACTOR: u32 = 4;

/// How the reading of one stream ended.
enum StreamEnd {
    /// The last token was read.
    Finished,
    /// No token arrived within the timeout; the resumption shows whether the engine still has the
    /// request.
    Silent,
}

impl driver::Driver {
    /// Reads an output to its end and resumes it whenever its stream breaks.
    pub(super) async fn read(
        &mut self,
        mut stream: backend_server::TokenStream,
        plan: &plan::Plan,
        placement: &mut placement::Placement,
        sent_at: ids::Timestamp,
    ) -> Result<(), failure::Failure> {
        let mut resumes = 0;
        loop {
            let before = self.progress.assembly.next_offset();
            let err = match self
                .read_stream(&mut stream, plan, placement, sent_at)
                .await
            {
                Ok(StreamEnd::Finished) => {
                    placement.set_ended();
                    return Ok(());
                }
                Ok(StreamEnd::Silent) => broken("no token arrived within the timeout"),
                Err(err) => {
                    resumes += 1;
                    err
                }
            };
            if self.progress.assembly.next_offset() > before {
                resumes = 0;
            }
            if resumes > MAX_RESUMES {
                placement.set_failure(&err);
                return Err(failure::Failure::broken(&err));
            }
            stream = self.resume(plan, placement, &err).await?;
        }
    }

    /// Resumes the output, from the next token on, on the engine that runs it.
    pub(super) async fn resume(
        &self,
        plan: &plan::Plan,
        placement: &mut placement::Placement,
        cause: &backend_server::BackendServerError,
    ) -> Result<backend_server::TokenStream, failure::Failure> {
        let id = &self.completion.job.id;
        let offset = self.progress.assembly.next_offset();
        log::emit(&event::Event::Resumed {
            request: id,
            server: &plan.leader.server,
            offset,
            reason: &cause.to_string(),
        });
        let resumed = self
            .cx
            .servers
            .resume(&plan.leader.address, id, offset)
            .await;
        resumed.map_err(|err| {
            placement.set_failure(&err);
            failure::Failure::broken(&err)
        })
    }

    /// Passes frames on until the output ends or its stream breaks.
    async fn read_stream(
        &mut self,
        stream: &mut backend_server::TokenStream,
        plan: &plan::Plan,
        placement: &mut placement::Placement,
        sent_at: ids::Timestamp,
    ) -> Result<StreamEnd, backend_server::BackendServerError> {
        let first_timeout = plan.estimate.total() * FIRST_TOKEN_TIMEOUT_FACTOR;
        let mut timeout = MIN_TOKEN_TIMEOUT.max(first_timeout);
        let mut timer = idle_timer::IdleTimer::new(timeout);
        loop {
            let frame = match timer.wait_for(stream.next()).await {
                Some(Some(frame)) => frame?,
                Some(None) => return Err(broken("the stream ended before the last token")),
                None => return Ok(StreamEnd::Silent),
            };
            let step = self.progress.assembly.accept(&frame);
            if step == assembly::Step::Gap {
                return Err(broken("tokens are missing from the stream"));
            }
            if step == assembly::Step::Drop {
                timer.restart(timeout);
                continue;
            }
            timeout = MIN_TOKEN_TIMEOUT;
            self.record_token(frame.epoch, plan, placement, sent_at);
            if self.deliver(frame, step).await {
                return Ok(StreamEnd::Finished);
            }
            timer.restart(timeout);
        }
    }

    /// Records on the credit the epoch of a token and, for the first one, its time.
    ///
    /// The first token also shows that the prompt's prefixes are now cached.
    fn record_token(
        &self,
        epoch: ids::Epoch,
        plan: &plan::Plan,
        placement: &mut placement::Placement,
        sent_at: ids::Timestamp,
    ) {
        let Some(credit) = placement.credits_mut().first_mut() else {
            return;
        };
        credit.set_epoch(epoch);
        if credit.has_first_token() {
            return;
        }
        credit.set_first_token(self.cx.clock.now().saturating_sub(sent_at));
        self.record_prefixes(plan, epoch);
    }

    /// Passes on one frame; returns whether it was the last.
    async fn deliver(&mut self, frame: backend_server::TokenFrame, step: assembly::Step) -> bool {
        let chunk = output::Chunk {
            text: frame.text,
            finish: frame.finish,
        };
        self.progress.store(&chunk);
        if step == assembly::Step::Finish {
            self.progress.last_chunk = Some(chunk);
            return true;
        }
        // If the caller disconnected, the driver ends the request, unless it is claimed.
        drop(self.tx.send(output::Output::Chunk(chunk)).await);
        false
    }
}

fn broken(reason: &str) -> backend_server::BackendServerError {
    backend_server::BackendServerError::Broken(reason.to_owned())
}
