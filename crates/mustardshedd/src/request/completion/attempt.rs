//! One attempt to run a prompt: route it, acquire credits, check it, send it.

use std::sync;

use mustardshed::{
    config::text,
    core::{
        boundary::{backend_server, control},
        error, ids,
        process::snapshot,
        request::{admission, gang, prefix, priority_class, route, route::work},
    },
};

use crate::{
    log::{self, event},
    request::{
        completion::driver, completion::plan, failure, held_credit, placement, report, send_check,
    },
};

impl driver::Driver {
    /// Makes one attempt; returns when the full output was read.
    pub(super) async fn attempt(&mut self) -> Result<(), failure::Failure> {
        let plan = self.route()?;
        let mut placement = self.place(&plan).await?;
        send_check::check(&self.cx, &placement, self.completion.job.deadline)?;
        self.send(&plan, &mut placement).await
    }

    fn route(&mut self) -> Result<plan::Plan, failure::Failure> {
        let snapshot = self.cx.control.snapshot();
        let now = self.cx.clock.now();
        self.hash_prefixes(&snapshot.text);
        let completion = &self.completion;
        let Some(target) = admission::model_target(&snapshot.text, &completion.model) else {
            return Err(failure::Failure::stop(error::Error::not_run(
                error::ErrorKind::UnknownModel,
                format!("model {} is no longer configured", completion.model),
            )));
        };
        let avoid = [&*self.progress.tried, &*self.progress.denied].concat();
        let work = work::Work::new(target, self.cx.next_seed())
            .tokens(completion.prompt_tokens, completion.max_tokens)
            .tried(&avoid)
            .routing(self.cx.routing)
            .recent(&self.cx.recent)
            .cached_prefix(self.cached_prefix(&snapshot, now));
        let plan = if gang::is_needed(&work) {
            self.route_gang(gang::plan(&snapshot, &work, now))
        } else {
            self.route_single(route::decide(&snapshot, &work, now), work.memory_tokens)
        };
        let plan = plan.map_err(|reason| {
            let is_transient =
                route::is_transient(&snapshot, &work) || self.progress.is_steward_changing;
            self.not_routed(&reason, is_transient)
        })?;
        admission::check_deadline(&plan.estimate, now, completion.job.deadline)
            .map_err(failure::Failure::stop)?;
        self.record_recent(&plan, snapshot.taken_at);
        Ok(plan)
    }

    /// Records the prefill that a plan adds to its engines, beyond the snapshot it was made from.
    fn record_recent(&self, plan: &plan::Plan, taken_at: ids::Timestamp) {
        for engine in &plan.engines {
            let recent = &self.cx.recent;
            recent.add(&engine.server, taken_at, plan.prefill_each);
        }
    }

    /// Computes the prefix hashes of the prompt, unless they are known.
    fn hash_prefixes(&mut self, text: &text::Text) {
        if !self.progress.prefix_hashes.is_empty() {
            return;
        }
        let Some(model) = text.models.get(&self.completion.model) else {
            return;
        };
        let prompt = &self.completion.prompt;
        self.progress.prefix_hashes =
            prefix::prefix_hashes(&model.name, prompt, model.bytes_per_token);
    }

    /// Returns the server that probably caches the longest prefix of the prompt, and its length.
    fn cached_prefix(
        &self,
        snapshot: &snapshot::Snapshot,
        now: ids::Timestamp,
    ) -> Option<work::CachedPrefix> {
        let (tag, tokens) = self.cx.prefixes.find(&self.progress.prefix_hashes, now)?;
        let mut servers = snapshot.servers.values();
        let server = servers.find(|s| prefix::ServerTag::new(&s.id, s.epoch) == tag)?;
        Some(work::CachedPrefix {
            server: server.id.clone(),
            tokens,
        })
    }

    /// Records that a server has prefilled the prompt; a gang's engines hold only shards of it.
    pub(super) fn record_prefixes(&self, plan: &plan::Plan, epoch: ids::Epoch) {
        if plan.is_gang() {
            return;
        }
        let server = prefix::ServerTag::new(&plan.leader.server, epoch);
        let now = self.cx.clock.now();
        self.cx
            .prefixes
            .insert(&self.progress.prefix_hashes, server, now);
    }

    /// Returns the plan for one engine, or the reason for which the prompt can't be routed.
    fn route_single(
        &self,
        decision: Result<route::decision::Decision, route::decision::NoRoute>,
        memory_tokens: ids::Tokens,
    ) -> Result<plan::Plan, String> {
        let decision = decision.map_err(|err| err.to_string())?;
        let completion = &self.completion;
        let attempt = self.progress.attempt_count;
        report::routed(
            &completion.job,
            &decision,
            completion.prompt_tokens,
            attempt,
        );
        Ok(plan::Plan::single(decision, memory_tokens))
    }

    fn route_gang(&self, plan: Option<gang::Plan>) -> Result<plan::Plan, String> {
        let job = &self.completion.job;
        let Some(plan) = plan.and_then(plan::Plan::gang) else {
            return Err("no data centre has enough engines for the prompt".to_owned());
        };
        log::emit(&event::Event::GangRouted {
            request: &job.id,
            account: &job.account,
            service: &job.service,
            servers: &plan.server_names(),
            data_centre: &plan.data_centre,
            estimate_ms: plan.estimate.total().as_millis(),
            prompt_tokens: self.completion.prompt_tokens,
            tokens_each: plan.tokens_each,
            attempt: self.progress.attempt_count,
            reason: &format!(
                "the prompt exceeds one engine's memory; lowest estimate of any data centre: {}",
                plan.estimate
            ),
        });
        Ok(plan)
    }

    fn not_routed(&self, reason: &str, is_transient: bool) -> failure::Failure {
        report::not_routed(&self.completion.job, reason);
        failure::Failure::no_server("no backend server can take the prompt now", is_transient)
    }

    /// Acquires the credits and reservations of a plan.
    ///
    /// If one of them fails, those acquired before are released with the dropped placement.
    async fn place(&mut self, plan: &plan::Plan) -> Result<placement::Placement, failure::Failure> {
        let id = self.completion.job.id.clone();
        let mut placement = placement::Placement::new(&self.cx, id);
        for step in plan.acquire_steps() {
            match step {
                gang::AcquireStep::Credit(index) => {
                    self.take_credit(plan, &plan.engines[index], &mut placement)
                        .await?;
                }
                gang::AcquireStep::Reserve(index) => {
                    self.reserve(plan, &plan.engines[index], &mut placement)
                        .await?;
                }
            }
        }
        Ok(placement)
    }

    async fn take_credit(
        &mut self,
        plan: &plan::Plan,
        engine: &gang::Engine,
        placement: &mut placement::Placement,
    ) -> Result<(), failure::Failure> {
        let req = self.credit_request(plan, engine);
        match held_credit::HeldCredit::acquire(&self.cx, req).await {
            Ok(credit) => {
                placement.add_credit(credit);
                Ok(())
            }
            Err(err) => {
                self.progress.denied.push(engine.server.clone());
                self.progress.is_steward_changing = err.kind == error::ErrorKind::NoBackendServer;
                Err(failure::Failure::not_sent(err))
            }
        }
    }

    async fn reserve(
        &mut self,
        plan: &plan::Plan,
        engine: &gang::Engine,
        placement: &mut placement::Placement,
    ) -> Result<(), failure::Failure> {
        send_check::check(&self.cx, placement, self.completion.job.deadline)?;
        let Err(err) = placement.reserve(engine, plan.tokens_each).await else {
            return Ok(());
        };
        placement.set_failure(&err);
        self.progress.tried.push(engine.server.clone());
        Err(failure::Failure::not_run(&err))
    }

    fn credit_request(&self, plan: &plan::Plan, engine: &gang::Engine) -> control::CreditRequest {
        let job = &self.completion.job;
        let latest_start = job.deadline.saturating_sub(plan.estimate.prefill);
        control::CreditRequest {
            request: job.id.clone(),
            account: job.account.clone(),
            server: engine.server.clone(),
            tokens: plan.tokens_each,
            prefill_tokens: plan.prefill_each,
            priority: self.priority(),
            wait_until: latest_start.min(self.attempts.wait_until()),
            gang: plan.is_gang(),
        }
    }

    fn priority(&self) -> u32 {
        priority_class::PriorityClass::for_prompt(self.completion.prompt_tokens).priority()
    }

    async fn send(
        &mut self,
        plan: &plan::Plan,
        placement: &mut placement::Placement,
    ) -> Result<(), failure::Failure> {
        let cx = sync::Arc::clone(&self.cx);
        let ran_before = self.progress.may_have_run;
        let sent_before = self.progress.sent_to.len();
        let req = self.engine_request(plan);
        placement.set_running(&plan.leader.address);
        self.progress.may_have_run = true;
        self.progress.tried.push(plan.leader.server.clone());
        let servers = plan.engines.iter().map(|engine| engine.server.clone());
        self.progress.sent_to.extend(servers);
        self.record_running();
        let sent_at = cx.clock.now();
        match cx.servers.generate(&plan.leader.address, req).await {
            Ok(stream) => self.read(stream, plan, placement, sent_at).await,
            Err(err) if failure::is_not_run(&err) => {
                placement.set_ended();
                placement.set_failure(&err);
                self.progress.may_have_run = ran_before;
                self.progress.sent_to.truncate(sent_before);
                Err(failure::Failure::not_run(&err))
            }
            Err(err) => {
                let stream = self.resume(plan, placement, &err).await?;
                self.read(stream, plan, placement, sent_at).await
            }
        }
    }

    /// Returns the prompt's request to an engine.
    ///
    /// Engines are deterministic by contract: a prompt yields the same tokens on every engine, so
    /// that another engine may continue an output at the number of tokens that were delivered.
    fn engine_request(&self, plan: &plan::Plan) -> backend_server::EngineRequest {
        let completion = &self.completion;
        backend_server::EngineRequest {
            id: completion.job.id.clone(),
            model: completion.model.clone(),
            prompt: completion.prompt.clone(),
            prompt_format: completion.prompt_format,
            prompt_tokens: completion.prompt_tokens,
            max_tokens: completion.max_tokens,
            offset: self.progress.assembly.next_offset(),
            priority: self.priority(),
            gang: plan.gang_addresses(),
        }
    }
}
