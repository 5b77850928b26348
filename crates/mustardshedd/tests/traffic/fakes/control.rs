//! A control thread that grants every credit and records what is released.

use std::{collections, sync, time};

use async_trait::async_trait;
use mustardshed::core::{
    boundary::{clock::Clock, control},
    error, ids,
    outcome::Outcome,
    process::snapshot,
    request::fate,
};

use crate::fakes::clock;

/// Time within which a granted credit must be used.
pub const CREDIT_TIME: time::Duration = time::Duration::from_secs(2);

/// Calls that the fake has received.
#[derive(Debug, Default)]
pub struct Seen {
    pub granted: Vec<control::Credit>,
    pub released: Vec<(control::Credit, control::Feedback)>,
    pub records: Vec<fate::Fate>,
    pub settled: Vec<fate::Fate>,
    pub claims: collections::BTreeMap<String, ([u8; 32], fate::Fate)>,
    /// Requests whose fate was not yet recorded when they claimed their key.
    pub claimed_unrecorded: Vec<ids::RequestId>,
}

impl Seen {
    /// Returns the latest record of a request.
    fn record_of(&self, id: &str) -> Option<&fate::Fate> {
        self.records.iter().rev().find(|fate| fate.request == id)
    }
}

/// Action to run right after a credit is granted.
struct AfterCredit(Box<dyn FnOnce(&FakeControl) + Send>);

impl std::fmt::Debug for AfterCredit {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("AfterCredit")
    }
}

/// A control thread that grants every credit.
#[derive(Debug)]
pub struct FakeControl {
    clock: sync::Arc<clock::FakeClock>,
    snapshot: sync::Mutex<sync::Arc<snapshot::Snapshot>>,
    seen: sync::Mutex<Seen>,
    refusals: sync::Mutex<collections::VecDeque<error::Error>>,
    after_credit: sync::Mutex<Option<AfterCredit>>,
    settle_delay: sync::Mutex<time::Duration>,
    next: sync::atomic::AtomicU64,
}

impl FakeControl {
    pub fn new(clock: sync::Arc<clock::FakeClock>, snapshot: snapshot::Snapshot) -> Self {
        Self {
            clock,
            snapshot: sync::Mutex::new(sync::Arc::new(snapshot)),
            seen: sync::Mutex::default(),
            refusals: sync::Mutex::default(),
            after_credit: sync::Mutex::new(None),
            settle_delay: sync::Mutex::default(),
            next: sync::atomic::AtomicU64::new(1),
        }
    }

    /// Changes the snapshot.
    pub fn change(&self, change: impl FnOnce(&mut snapshot::Snapshot)) {
        let mut guard = self.snapshot.lock().unwrap();
        let mut snapshot = snapshot::Snapshot::clone(&guard);
        change(&mut snapshot);
        *guard = sync::Arc::new(snapshot);
    }

    /// Refuses the next credit.
    pub fn refuse_next(&self, err: error::Error) {
        self.refusals.lock().unwrap().push_back(err);
    }

    /// Runs an action right after the next credit is granted.
    pub fn after_next_credit(&self, act: impl FnOnce(&Self) + Send + 'static) {
        *self.after_credit.lock().unwrap() = Some(AfterCredit(Box::new(act)));
    }

    /// Sets the clock forward right after the next credit is granted.
    pub fn freeze_after_next_credit(&self, time: time::Duration) {
        self.after_next_credit(move |control| control.clock.advance(time));
    }

    /// Makes the platform take this long to record a fate.
    pub fn settle_after(&self, delay: time::Duration) {
        *self.settle_delay.lock().unwrap() = delay;
    }

    /// Sets the clock forward right after each of the next two credits is granted.
    pub fn freeze_after_two_credits(&self, time: time::Duration) {
        self.after_next_credit(move |control| {
            control.clock.advance(time);
            control.freeze_after_next_credit(time);
        });
    }

    /// Gives access to the calls received so far.
    pub fn seen<T>(&self, read: impl FnOnce(&Seen) -> T) -> T {
        read(&self.seen.lock().unwrap())
    }

    /// Returns whether every granted credit was released exactly once.
    pub fn is_balanced(&self) -> bool {
        self.seen(|seen| {
            let released: Vec<_> = seen.released.iter().map(|(credit, _)| credit).collect();
            seen.granted.len() == released.len()
                && seen.granted.iter().all(|c| released.contains(&c))
        })
    }
}

#[async_trait]
impl control::Control for FakeControl {
    fn snapshot(&self) -> sync::Arc<snapshot::Snapshot> {
        sync::Arc::clone(&self.snapshot.lock().unwrap())
    }

    fn next_request_id(&self, _claim: Option<(&ids::ClientAccountId, &str)>) -> ids::RequestId {
        let next = self.next.fetch_add(1, sync::atomic::Ordering::SeqCst);
        format!("entry-1.1.{next}")
    }

    async fn acquire(&self, req: control::CreditRequest) -> Result<control::Credit, error::Error> {
        if let Some(err) = self.refusals.lock().unwrap().pop_front() {
            return Err(err);
        }
        let epoch = self.snapshot().servers[&req.server].epoch;
        let credit = control::Credit {
            request: req.request,
            server: req.server,
            tokens: req.tokens,
            epoch,
            use_by: self.clock.now() + CREDIT_TIME,
        };
        self.seen.lock().unwrap().granted.push(credit.clone());
        let act = self.after_credit.lock().unwrap().take();
        if let Some(AfterCredit(act)) = act {
            act(self);
        }
        Ok(credit)
    }

    fn release(&self, credit: control::Credit, feedback: control::Feedback) {
        self.seen.lock().unwrap().released.push((credit, feedback));
    }

    async fn claim(&self, req: control::ClaimRequest) -> Result<control::Claim, error::Error> {
        let mut seen = self.seen.lock().unwrap();
        if seen.record_of(&req.request).is_none() {
            seen.claimed_unrecorded.push(req.request.clone());
        }
        if let Some((digest, fate)) = seen.claims.get(&req.key) {
            if *digest != req.body_digest {
                return Err(error::Error::not_run(
                    error::ErrorKind::KeyReused,
                    "another body",
                ));
            }
            return Ok(control::Claim::Duplicate(fate.clone()));
        }
        let fate = fate::Fate {
            request: req.request,
            account: req.account,
            outcome: Outcome::Running,
            error: None,
            servers: Vec::new(),
            stored_response: None,
        };
        seen.claims.insert(req.key, (req.body_digest, fate));
        Ok(control::Claim::Granted)
    }

    async fn settle(
        &self,
        req: control::ClaimRequest,
        fate: fate::Fate,
    ) -> Result<(), error::Error> {
        let delay = *self.settle_delay.lock().unwrap();
        if !delay.is_zero() {
            tokio::time::sleep(delay).await;
        }
        let mut seen = self.seen.lock().unwrap();
        seen.settled.push(fate.clone());
        seen.claims.insert(req.key, (req.body_digest, fate));
        Ok(())
    }

    fn record(&self, fate: fate::Fate) {
        self.seen.lock().unwrap().records.push(fate);
    }

    async fn fate(&self, id: &ids::RequestId) -> Result<fate::Fate, error::Error> {
        let found = self.seen(|seen| seen.record_of(id).cloned());
        found.ok_or_else(|| error::Error::not_run(error::ErrorKind::UnknownRequest, "unknown"))
    }
}
