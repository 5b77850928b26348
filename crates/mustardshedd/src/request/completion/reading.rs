//! Reading of an output, resumed where its stream breaks.

use std::{sync, time};

use futures_util::StreamExt;
use mustardshed::core::{border::backend_server, ids, request::assembly};

use crate::{
    log::{self, event},
    request::{completion::driver, completion::plan, failure, output, placement},
};

/// Resumptions of one stream without a new token, at most.
const MAX_RESUMES: u32 = 3;
/// Least wait for the next token before a stream counts as broken.
const MIN_PATIENCE: time::Duration = time::Duration::from_secs(10);
/// Multiple of the estimate after which a first token counts as lost.
const PATIENCE_FACTOR: u32 = 4;

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
            let Err(err) = self.pump(&mut stream, plan, placement, sent_at).await else {
                placement.end();
                return Ok(());
            };
            if self.progress.assembly.next_offset() > before {
                resumes = 0;
            }
            resumes += 1;
            if resumes > MAX_RESUMES {
                placement.fail(&err);
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
            server: &plan.lead.server,
            offset,
            reason: &cause.to_string(),
        });
        let resumed = self.cx.servers.resume(&plan.lead.address, id, offset).await;
        resumed.map_err(|err| {
            placement.fail(&err);
            failure::Failure::broken(&err)
        })
    }

    /// Hands on frames until the output ends or its stream breaks.
    async fn pump(
        &mut self,
        stream: &mut backend_server::TokenStream,
        plan: &plan::Plan,
        placement: &mut placement::Placement,
        sent_at: ids::Timestamp,
    ) -> Result<(), backend_server::BackendServerError> {
        let cx = sync::Arc::clone(&self.cx);
        let mut patience = MIN_PATIENCE.max(plan.estimate.total() * PATIENCE_FACTOR);
        loop {
            let next = tokio::time::timeout(patience, stream.next()).await;
            let frame = match next {
                Ok(Some(frame)) => frame?,
                Ok(None) => return Err(broken("the stream ended before the output")),
                Err(_) => return Err(broken("no token came for too long")),
            };
            let step = self.progress.assembly.accept(&frame);
            if step == assembly::Step::Gap {
                return Err(broken("tokens are missing from the stream"));
            }
            if step == assembly::Step::Drop {
                continue;
            }
            patience = MIN_PATIENCE;
            if let Some(credit) = placement.credits_mut().first_mut() {
                credit.set_epoch(frame.epoch);
                if !credit.has_first_token() {
                    credit.set_first_token(cx.clock.now().saturating_sub(sent_at));
                }
            }
            if self.deliver(frame, step).await {
                return Ok(());
            }
        }
    }

    /// Hands on one frame; returns whether it was the last.
    async fn deliver(&mut self, frame: backend_server::TokenFrame, step: assembly::Step) -> bool {
        let piece = output::Piece {
            text: frame.text,
            finish: frame.finish,
        };
        self.progress.keep(&piece);
        if step == assembly::Step::Finish {
            self.progress.last = Some(piece);
            return true;
        }
        // A caller that is gone is noticed by the driver, or the request is claimed and goes on.
        drop(self.tx.send(output::Output::Piece(piece)).await);
        false
    }
}

fn broken(reason: &str) -> backend_server::BackendServerError {
    backend_server::BackendServerError::Broken(reason.to_owned())
}
