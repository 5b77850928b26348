//! One attempt of a call: route it, acquire a credit, check it, send it.

use std::sync::{self, atomic};

use mustardshed::core::{
    boundary::{backend_server, control},
    error, mutation,
    request::{admission, fate, route, route::work},
};

use crate::request::{call::driver, failure, held_credit, placement, report, send_check};

impl driver::Driver {
    /// Makes one attempt; returns the service's response.
    pub(super) async fn attempt(&mut self) -> Result<fate::StoredResponse, failure::Failure> {
        let decision = self.route()?;
        let mut placement = self.place(&decision).await?;
        send_check::check(&self.cx, &placement, self.call.job.deadline)?;
        self.send_call(&decision, &mut placement).await
    }

    fn route(&self) -> Result<route::decision::Decision, failure::Failure> {
        let snapshot = self.cx.control.snapshot();
        let now = self.cx.clock.now();
        let job = &self.call.job;
        let service = snapshot.text.services.get(&job.service);
        let target = service.and_then(|service| admission::target(&snapshot.text, service));
        let Some(target) = target else {
            return Err(failure::Failure::stop(error::Error::not_run(
                error::ErrorKind::UnknownService,
                format!("service {} is no longer configured", job.service),
            )));
        };
        let avoid = [&*self.tried, &*self.denied].concat();
        let work = work::Work::new(target, self.cx.next_seed()).tried(&avoid);
        let decision = route::decide(&snapshot, &work, now).map_err(|err| self.not_routed(&err))?;
        report::routed(job, &decision, 0, self.attempt_count);
        admission::check_deadline(&decision.estimate, now, job.deadline)
            .map_err(failure::Failure::stop)?;
        Ok(decision)
    }

    fn not_routed(&self, err: &route::decision::NoRoute) -> failure::Failure {
        report::not_routed(&self.call.job, &err.to_string());
        failure::Failure::no_server(
            "no backend server can take the call now",
            err.is_transient() || self.is_steward_changing,
        )
    }

    async fn place(
        &mut self,
        decision: &route::decision::Decision,
    ) -> Result<placement::Placement, failure::Failure> {
        let job = &self.call.job;
        let mut placement = placement::Placement::new(&self.cx, job.id.clone());
        let req = control::CreditRequest {
            request: job.id.clone(),
            account: job.account.clone(),
            server: decision.server.clone(),
            tokens: 0,
            prefill_tokens: 0,
            priority: 0,
            wait_until: self.attempts.wait_until(),
            gang: false,
        };
        match held_credit::HeldCredit::acquire(&self.cx, req).await {
            Ok(credit) => {
                placement.add_credit(credit);
                Ok(placement)
            }
            Err(err) => {
                self.denied.push(decision.server.clone());
                self.is_steward_changing = err.kind == error::ErrorKind::NoBackendServer;
                Err(failure::Failure::not_sent(err))
            }
        }
    }

    /// Sends the call once.
    ///
    /// If the call must not be repeated, no attempt follows a failure after which it may have run.
    async fn send_call(
        &mut self,
        decision: &route::decision::Decision,
        placement: &mut placement::Placement,
    ) -> Result<fate::StoredResponse, failure::Failure> {
        let cx = sync::Arc::clone(&self.cx);
        let ran_before = self.may_have_run.swap(true, atomic::Ordering::SeqCst);
        self.tried.push(decision.server.clone());
        self.sent_to.push(decision.server.clone());
        self.record_running();
        let result = cx
            .servers
            .call(&decision.address, self.call.call.clone())
            .await;
        let err = match result {
            Ok(resp) => {
                placement.set_epoch(resp.epoch);
                return Ok(to_stored(resp));
            }
            Err(err) => err,
        };
        placement.set_failure(&err);
        if failure::is_not_run(&err) {
            self.may_have_run
                .store(ran_before, atomic::Ordering::SeqCst);
            self.sent_to.pop();
            return Err(failure::Failure::not_run(&err));
        }
        let mut broken = failure::Failure::broken(&err);
        if !self.call.is_repeatable && !mutation::on("broken_call_resent") {
            broken.next = failure::Next::Stop;
        }
        Err(broken)
    }
}

fn to_stored(resp: backend_server::ServiceResponse) -> fate::StoredResponse {
    fate::StoredResponse {
        status: resp.status,
        content_type: resp.content_type,
        body: resp.body,
    }
}
