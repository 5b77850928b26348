//! Reading of an output, resumed where its stream breaks.

use std::time;

use futures_util::StreamExt;
use mustardshed::core::{boundary::backend_server, ids, request::assembly};

use crate::{
    connection::idle_timer,
    log::{self, event},
    request::{completion::driver, completion::plan, failure, output, placement},
};

/// Greatest number of resumptions of an output without a new token.
const MAX_RESUMES: u32 = 3;
/// Least wait for the next token before the engine is asked whether it still has the request.
const MIN_TOKEN_TIMEOUT: time::Duration = time::Duration::from_secs(10);
/// Factor of the estimated time to first token for the wait for it.
const FIRST_TOKEN_TIMEOUT_FACTOR: u32 = 4;

/// How reading one stream ended.
enum StreamEnd {
    /// The last token was read.
    Finished,
    /// No token came for a while; an engine that still has the request says so when it is resumed.
    Silent,
}

impl driver::Driver {
    /// Reads an output to its end, resuming it where its stream breaks.
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
                Ok(StreamEnd::Silent) => broken("no token came for a while"),
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

    /// Resumes the output at the next token on the engine that runs it.
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

    /// Hands on frames until the output ends or its stream breaks.
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
                Some(None) => return Err(broken("the stream ended before the output")),
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

    /// Notes on the credit, and for later prompts, what a token shows.
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

    /// Hands on one frame; returns whether it was the last.
    async fn deliver(&mut self, frame: backend_server::TokenFrame, step: assembly::Step) -> bool {
        let piece = output::Chunk {
            text: frame.text,
            finish: frame.finish,
        };
        self.progress.store(&piece);
        if step == assembly::Step::Finish {
            self.progress.last_chunk = Some(piece);
            return true;
        }
        // A caller that is gone is noticed by the driver, or the request is claimed and goes on.
        drop(self.tx.send(output::Output::Chunk(piece)).await);
        false
    }
}

fn broken(reason: &str) -> backend_server::BackendServerError {
    backend_server::BackendServerError::Broken(reason.to_owned())
}
