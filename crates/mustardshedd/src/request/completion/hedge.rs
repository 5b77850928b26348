//! A second engine for a short prompt whose first token is late.
//!
//! Whichever engine sends the first usable frame is read on; the other one's work is cancelled when
//! its placement is dropped. Nothing was handed on until then, so that every token still comes
//! from one stream at a time and passes the same assembly.

use std::{future, sync, time};

use futures_util::{StreamExt, stream};
use mustardshed::core::{
    border::backend_server,
    ids, mutation,
    request::{assembly, hedge},
};

use crate::{
    log::{self, event},
    request::{
        completion::{driver, plan},
        cx, failure, held_credit, placement, send_check,
    },
};

/// Longest wait for either of two engines before the first one is waited for alone.
const PATIENCE: time::Duration = time::Duration::from_secs(10);

type Frame = Result<backend_server::TokenFrame, backend_server::BackendServerError>;

/// Stream that is read on.
pub(super) enum Lead {
    /// That of the engine that was sent the prompt first.
    First(backend_server::TokenStream),
    /// That of the second one.
    Second(Box<Second>),
}

/// Work on a second engine.
pub(super) struct Second {
    pub(super) stream: backend_server::TokenStream,
    pub(super) plan: plan::Plan,
    pub(super) placement: placement::Placement,
    pub(super) sent_at: ids::Timestamp,
}

/// A hedge that may be sent.
struct Ready {
    plan: plan::Plan,
    placement: placement::Placement,
}

impl driver::Driver {
    /// Waits for the first frame, with a second engine if it is late and a hedge may be made.
    pub(super) async fn lead(
        &mut self,
        mut first: backend_server::TokenStream,
        plan: &plan::Plan,
        sent_at: ids::Timestamp,
    ) -> Lead {
        let Some(late_after) = self.late_after(plan) else {
            return Lead::First(first);
        };
        let assembly = self.progress.assembly.clone();
        let cx = sync::Arc::clone(&self.cx);
        tokio::select! {
            biased;
            item = first_frame(&mut first, &assembly) => return Lead::First(put_back(item, first)),
            () = cx.sleep_until(sent_at + late_after) => {}
        }
        if !self.attempts.withdraw_hedge() {
            return Lead::First(first);
        }
        let ready = tokio::select! {
            biased;
            item = first_frame(&mut first, &assembly) => {
                self.attempts.refund_hedge();
                return Lead::First(put_back(item, first));
            }
            ready = self.prepare_hedge(plan) => ready,
        };
        match ready {
            Some(ready) => self.race(first, plan, ready, &assembly).await,
            None => {
                self.attempts.refund_hedge();
                Lead::First(first)
            }
        }
    }

    fn late_after(&self, plan: &plan::Plan) -> Option<time::Duration> {
        let is_begun = self.progress.assembly.next_offset() > 0;
        if plan.is_gang() || is_begun || self.completion.job.claim.is_some() {
            return None;
        }
        let allowance = self.cx.hedge_allowance?;
        hedge::late_after(&plan.estimate, plan.prefill_each, allowance)
    }

    /// Routes to another engine and takes a credit there, if one is to spare.
    async fn prepare_hedge(&mut self, first: &plan::Plan) -> Option<Ready> {
        let plan = self.route().ok()?;
        if plan.is_gang() || !hedge::is_worthwhile(&first.estimate, &plan.estimate) {
            self.log_hedge_end(&first.lead.server, "", "no other engine promises as much");
            return None;
        }
        let mut req = self.credit_request(&plan, &plan.lead);
        req.wait_until = self.cx.clock.now();
        let mut placement = placement::Placement::new(&self.cx, self.completion.job.id.clone());
        match held_credit::HeldCredit::acquire(&self.cx, req).await {
            Ok(credit) => placement.add_credit(credit),
            Err(_) => {
                self.log_hedge_end(&first.lead.server, "", "no spare credit");
                return None;
            }
        }
        if send_check::check(&self.cx, &placement, self.completion.job.deadline).is_err() {
            self.log_hedge_end(
                &first.lead.server,
                "",
                "the credit may not be used any more",
            );
            return None;
        }
        Some(Ready { plan, placement })
    }

    /// Sends the prompt to a second engine and reads on whichever is first.
    async fn race(
        &mut self,
        mut first: backend_server::TokenStream,
        first_plan: &plan::Plan,
        ready: Ready,
        assembly: &assembly::Assembly,
    ) -> Lead {
        let Ready {
            plan,
            mut placement,
        } = ready;
        self.begin_hedge(&plan, &mut placement);
        let (own, other) = (&first_plan.lead.server, &plan.lead.server);
        let sent_at = self.cx.clock.now();
        let req = self.engine_request(&plan);
        let opened = open(
            sync::Arc::clone(&self.cx),
            &plan.lead.address,
            req,
            assembly,
        );
        let mut opened = Box::pin(tokio::time::timeout(PATIENCE, opened));
        let (item, second) = tokio::select! {
            biased;
            item = first_frame(&mut first, assembly) => match item {
                Some(Ok(_)) => (Some(item), None),
                _ => (Some(item), opened.as_mut().await.ok()),
            },
            second = opened.as_mut() => (None, second.ok()),
        };
        drop(opened);
        match second {
            Some(Ok(stream)) => {
                self.log_hedge_end(other, own, "the second engine was first");
                Lead::Second(Box::new(Second {
                    stream,
                    plan,
                    placement,
                    sent_at,
                }))
            }
            failed => {
                self.log_hedge_end(own, other, "the first engine was first, or alone");
                lose(&mut placement, failed.and_then(Result::err));
                Lead::First(match item {
                    Some(item) => put_back(item, first),
                    None => first,
                })
            }
        }
    }

    fn begin_hedge(&mut self, plan: &plan::Plan, placement: &mut placement::Placement) {
        let server = &plan.lead.server;
        log::emit(&event::Event::Hedged {
            request: &self.completion.job.id,
            server,
            estimate_ms: plan.estimate.total().as_millis(),
            reason: "the first token is late",
        });
        placement.begin(&plan.lead.address);
        self.progress.tried.push(server.clone());
        self.progress.given.push(server.clone());
        self.record_running();
    }

    fn log_hedge_end(&self, server: &str, cancelled: &str, reason: &str) {
        log::emit(&event::Event::HedgeEnded {
            request: &self.completion.job.id,
            server,
            cancelled,
            reason,
        });
    }
}

/// Notes how the hedge failed, if it did; what may run of it is cancelled when it is dropped.
fn lose(placement: &mut placement::Placement, failure: Option<backend_server::BackendServerError>) {
    if let Some(err) = failure {
        if failure::is_not_run(&err) {
            placement.end();
        }
        placement.fail(&err);
    }
    if mutation::on("hedge_loser_runs_on") {
        placement.end();
    }
}

/// Sends a prompt and returns its output once the first frame is there.
async fn open(
    cx: sync::Arc<cx::Cx>,
    address: &str,
    req: backend_server::EngineRequest,
    assembly: &assembly::Assembly,
) -> Result<backend_server::TokenStream, backend_server::BackendServerError> {
    let mut stream = cx.servers.generate(address, req).await?;
    match first_frame(&mut stream, assembly).await {
        Some(Ok(frame)) => Ok(put_back(Some(Ok(frame)), stream)),
        Some(Err(err)) => Err(err),
        None => Err(backend_server::BackendServerError::Broken(
            "the stream ended before the output".to_owned(),
        )),
    }
}

/// Returns the next frame that is not to be dropped, or how the stream ended.
async fn first_frame(
    stream: &mut backend_server::TokenStream,
    assembly: &assembly::Assembly,
) -> Option<Frame> {
    loop {
        match stream.next().await {
            Some(Ok(frame)) if assembly.clone().accept(&frame) == assembly::Step::Drop => {}
            item => return item,
        }
    }
}

/// Returns a stream that begins with what was taken from it.
fn put_back(item: Option<Frame>, rest: backend_server::TokenStream) -> backend_server::TokenStream {
    match item {
        Some(item) => Box::pin(stream::once(future::ready(item)).chain(rest)),
        None => Box::pin(stream::empty()),
    }
}
