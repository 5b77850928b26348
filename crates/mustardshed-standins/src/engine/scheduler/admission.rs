//! Admission of requests and of gang members' prefill shards.

use std::{sync, sync::atomic, time};

use crate::engine::{job, records, refusal, scheduler};

impl scheduler::Scheduler {
    /// Starts a request.
    ///
    /// # Errors
    ///
    /// The reason for the refusal; nothing has run then. A cold engine crashes
    /// at a request beyond its cold limit, and refuses that request too.
    pub fn admit(
        &mut self,
        now: time::Duration,
        req: job::Admission,
    ) -> Result<job::Handle, refusal::Refusal> {
        self.advance(now);
        let tokens = req.prompt.tokens + req.max_tokens;
        let (record, sent) = self.record(now, &req.id, tokens);
        let checked = self.check_admission(now, &req);
        if let Err(refusal) = checked {
            self.refuse(record, refusal);
            return Err(refusal);
        }
        let cached = if req.gang_size > 1 {
            0
        } else {
            self.cache.lookup(&req.prompt.prefixes)
        };
        let job = job::Job::of_admission(req, cached, record, sent);
        let handle = job.handle();
        self.start(now, job);
        Ok(handle)
    }

    /// Starts the prefill of one shard of a request that another engine leads.
    ///
    /// # Errors
    ///
    /// The reason for the refusal; nothing has run then.
    pub fn join(
        &mut self,
        now: time::Duration,
        req: job::Membership,
    ) -> Result<job::Handle, refusal::Refusal> {
        self.advance(now);
        let (record, sent) = self.record(now, &req.id, req.prefill_tokens);
        let checked = self.check_membership(now, &req);
        if let Err(refusal) = checked {
            self.refuse(record, refusal);
            return Err(refusal);
        }
        let job = job::Job::of_membership(req, record, sent);
        let handle = job.handle();
        self.start(now, job);
        Ok(handle)
    }

    /// Reserves memory for a gang's request.
    ///
    /// # Errors
    ///
    /// The reason for the refusal; nothing is reserved then.
    pub fn reserve(
        &mut self,
        now: time::Duration,
        id: &str,
        tokens: u64,
    ) -> Result<(), refusal::Refusal> {
        self.advance(now);
        self.check_open(now)?;
        self.memory.reserve(id, tokens)?;
        self.cache.shrink(self.memory.free());
        Ok(())
    }

    fn check_open(&self, now: time::Duration) -> Result<(), refusal::Refusal> {
        if self.down_until.is_some_and(|until| now < until) {
            return Err(refusal::Refusal::FellOver);
        }
        if self.faults.leaving {
            return Err(refusal::Refusal::Leaving);
        }
        Ok(())
    }

    fn check_admission(
        &mut self,
        now: time::Duration,
        req: &job::Admission,
    ) -> Result<(), refusal::Refusal> {
        self.check_open(now)?;
        if req.max_tokens <= req.offset {
            return Err(refusal::Refusal::BadRequest);
        }
        if !self.models.contains_key(&req.model) {
            return Err(refusal::Refusal::NoSuchModel);
        }
        self.check_batch(now, &req.id)?;
        if req.gang_size > 1 {
            return self.check_reservation(&req.id, req.share());
        }
        self.memory.hold(&req.id, req.share())?;
        self.cache.shrink(self.memory.free());
        Ok(())
    }

    fn check_membership(
        &mut self,
        now: time::Duration,
        req: &job::Membership,
    ) -> Result<(), refusal::Refusal> {
        self.check_open(now)?;
        self.check_batch(now, &req.id)?;
        self.check_reservation(&req.id, req.prefill_tokens)
    }

    fn check_batch(&mut self, now: time::Duration, id: &str) -> Result<(), refusal::Refusal> {
        if self.numbers.contains_key(id) {
            return Err(refusal::Refusal::KnownId);
        }
        if self.warmth == scheduler::Warmth::Cold && self.running.len() >= self.settings.cold_limit
        {
            self.fall_over(now);
            return Err(refusal::Refusal::FellOver);
        }
        if self.running.len() >= self.settings.max_running {
            return Err(refusal::Refusal::TooManyRunning);
        }
        Ok(())
    }

    fn check_reservation(&self, id: &str, tokens: u64) -> Result<(), refusal::Refusal> {
        match self.memory.reservation(id) {
            Some(reserved) if reserved >= tokens => Ok(()),
            _ => Err(refusal::Refusal::NoReservation),
        }
    }

    fn start(&mut self, now: time::Duration, job: job::Job) {
        let number = self.next_number;
        self.next_number += 1;
        self.numbers.insert(job.id.clone(), number);
        self.jobs.insert(number, job);
        self.running.insert(number);
        if self.warmth == scheduler::Warmth::Cold {
            let most = self.records.max_running_cold.max(self.running.len());
            self.records.max_running_cold = most;
        }
        self.queue(number);
        self.begin_step(now);
    }

    fn record(
        &mut self,
        now: time::Duration,
        id: &str,
        tokens: u64,
    ) -> (u64, sync::Arc<atomic::AtomicU64>) {
        let sent = sync::Arc::new(atomic::AtomicU64::new(0));
        let number = self.records.add_request(records::RequestRecord {
            id: id.to_owned(),
            at_ms: now.as_millis() as u64,
            tokens,
            cold: self.warmth == scheduler::Warmth::Cold,
            refused: None,
            outcome: "running",
            sent_tokens: sync::Arc::clone(&sent),
        });
        (number, sent)
    }

    fn refuse(&mut self, record: u64, refusal: refusal::Refusal) {
        self.records.refuse_request(record, refusal);
    }
}
