//! Backend servers that follow a script.

use std::{collections, sync, time};

use async_trait::async_trait;
use bytes::Bytes;
use futures_util::{StreamExt, stream};
use mustardshed::core::{boundary::backend_server, ids};

/// What a stream does after its frames.
#[derive(Clone, Copy, Debug)]
pub enum After {
    /// It ends; the last frame was the last token.
    Finish,
    /// Its connection breaks.
    Break,
    /// It stays open and sends nothing more.
    Stall,
}

/// One step of the script.
#[derive(Clone, Debug)]
pub enum Step {
    /// Sends frames with these offsets and then does what `After` says.
    Stream(Vec<u64>, After),
    /// Sends these frames as they are.
    Frames(Vec<backend_server::TokenFrame>),
    /// Sends these frames as they are, and then does what `After` says.
    Noise(Vec<backend_server::TokenFrame>, After),
    /// Fails before there is a stream or a response.
    Fail(backend_server::BackendServerError),
    /// Never responds.
    Hang,
    /// Responds to a call after a delay.
    Late(time::Duration, u16, &'static str),
    /// Responds to a call.
    Answer(u16, &'static str),
}

/// Backend servers that follow a script; without one, prompts get three tokens and calls `ok`.
#[derive(Debug, Default)]
pub struct FakeServers {
    script: sync::Mutex<collections::VecDeque<Step>>,
    resumes: sync::Mutex<collections::VecDeque<Step>>,
    reservations: sync::Mutex<collections::VecDeque<backend_server::BackendServerError>>,
    log: sync::Mutex<Vec<String>>,
}

impl FakeServers {
    /// Adds a step for a prompt or a call.
    pub fn then(&self, step: Step) {
        self.script.lock().unwrap().push_back(step);
    }

    /// Adds a step for a resumption.
    pub fn then_on_resume(&self, step: Step) {
        self.resumes.lock().unwrap().push_back(step);
    }

    /// Fails the next reservation.
    pub fn fail_reservation(&self, err: backend_server::BackendServerError) {
        self.reservations.lock().unwrap().push_back(err);
    }

    /// Returns the calls received so far, one text each.
    pub fn log(&self) -> Vec<String> {
        self.log.lock().unwrap().clone()
    }

    /// Returns the number of log lines that begin with `what`.
    pub fn count(&self, what: &str) -> usize {
        self.log().iter().filter(|l| l.starts_with(what)).count()
    }

    /// Waits until a log line begins with `what`.
    pub async fn wait_for(&self, what: &str) {
        for _ in 0..500 {
            if self.count(what) > 0 {
                return;
            }
            tokio::time::sleep(time::Duration::from_millis(10)).await;
        }
        panic!("never saw {what} in {:?}", self.log());
    }

    /// Logs `ran` if the server ran, or may have run, what it was sent.
    fn note_run(&self, step: Option<&Step>) {
        let is_not_run = matches!(
            step,
            Some(Step::Fail(
                backend_server::BackendServerError::Refused(_)
                    | backend_server::BackendServerError::Unreachable(_)
            ))
        );
        if !is_not_run {
            self.note("ran".to_owned());
        }
    }

    fn note(&self, what: String) {
        self.log.lock().unwrap().push(what);
    }

    async fn play(
        &self,
        step: Option<Step>,
        id: &ids::RequestId,
        offset: u64,
    ) -> Result<backend_server::TokenStream, backend_server::BackendServerError> {
        match step {
            None => Ok(frames(id, (offset..3).collect(), After::Finish)),
            Some(Step::Stream(offsets, after)) => Ok(frames(id, offsets, after)),
            Some(Step::Noise(frames, after)) => Ok(and_then(frames, after)),
            Some(Step::Frames(frames)) => Ok(Box::pin(stream::iter(frames.into_iter().map(Ok)))),
            Some(Step::Fail(err)) => Err(err),
            Some(Step::Hang) => std::future::pending().await,
            Some(Step::Answer(..) | Step::Late(..)) => {
                panic!("a prompt met a step for calls")
            }
        }
    }
}

/// Makes a frame; the text of the first request at an entry differs from that of all others.
pub fn frame(id: &str, offset: u64, finish: bool) -> backend_server::TokenFrame {
    backend_server::TokenFrame {
        id: id.to_owned(),
        offset,
        text: format!("{}{offset} ", if id == "entry-1.1.1" { "t" } else { "x" }),
        finish: finish.then(|| "length".to_owned()),
        epoch: 1,
    }
}

/// Makes an output of about 30 MB, more than sockets and queues hold.
pub fn long_frames(id: &str) -> Vec<backend_server::TokenFrame> {
    let mut frames: Vec<_> = (0..300)
        .map(|offset| frame(id, offset, offset == 299))
        .collect();
    for frame in &mut frames {
        frame.text = "a".repeat(100_000);
    }
    frames
}

fn frames(id: &str, offsets: Vec<u64>, after: After) -> backend_server::TokenStream {
    let last = offsets.len().saturating_sub(1);
    let id = id.to_owned();
    let finishes = matches!(after, After::Finish);
    let sent = offsets
        .into_iter()
        .enumerate()
        .map(|(index, offset)| frame(&id, offset, finishes && index == last))
        .collect();
    and_then(sent, after)
}

fn and_then(frames: Vec<backend_server::TokenFrame>, after: After) -> backend_server::TokenStream {
    let sent = stream::iter(frames.into_iter().map(Ok));
    match after {
        After::Finish => Box::pin(sent),
        After::Break => Box::pin(sent.chain(stream::iter([Err(broken())]))),
        After::Stall => Box::pin(sent.chain(stream::pending())),
    }
}

/// Makes the failure of a connection that broke.
pub fn broken() -> backend_server::BackendServerError {
    backend_server::BackendServerError::Broken("reset".to_owned())
}

/// Makes a refusal.
pub fn refused() -> backend_server::BackendServerError {
    backend_server::BackendServerError::Refused("full".to_owned())
}

/// Makes the failure to connect.
pub fn unreachable() -> backend_server::BackendServerError {
    backend_server::BackendServerError::Unreachable("no route".to_owned())
}

#[async_trait]
impl backend_server::BackendServer for FakeServers {
    async fn generate(
        &self,
        address: &str,
        req: backend_server::EngineRequest,
    ) -> Result<backend_server::TokenStream, backend_server::BackendServerError> {
        self.note(format!(
            "generate {address} at {} of {}",
            req.offset,
            req.gang.len()
        ));
        let step = self.script.lock().unwrap().pop_front();
        self.note_run(step.as_ref());
        self.play(step, &req.id, req.offset).await
    }

    async fn resume(
        &self,
        address: &str,
        id: &ids::RequestId,
        offset: ids::Tokens,
    ) -> Result<backend_server::TokenStream, backend_server::BackendServerError> {
        self.note(format!("resume {address} at {offset}"));
        let step = self.resumes.lock().unwrap().pop_front();
        self.play(step, id, offset).await
    }

    async fn cancel(
        &self,
        address: &str,
        _id: &ids::RequestId,
    ) -> Result<(), backend_server::BackendServerError> {
        self.note(format!("cancel {address}"));
        Ok(())
    }

    async fn reserve(
        &self,
        address: &str,
        _id: &ids::RequestId,
        tokens: ids::Tokens,
    ) -> Result<(), backend_server::BackendServerError> {
        self.note(format!("reserve {address} {tokens}"));
        match self.reservations.lock().unwrap().pop_front() {
            Some(err) => Err(err),
            None => Ok(()),
        }
    }

    async fn release(
        &self,
        address: &str,
        _id: &ids::RequestId,
    ) -> Result<(), backend_server::BackendServerError> {
        self.note(format!("release {address}"));
        Ok(())
    }

    async fn load(
        &self,
        _address: &str,
    ) -> Result<backend_server::LoadReport, backend_server::BackendServerError> {
        Err(unreachable())
    }

    async fn order(
        &self,
        _address: &str,
        _fence: ids::FencingNumber,
        _order: backend_server::Order,
    ) -> Result<(), backend_server::BackendServerError> {
        Err(unreachable())
    }

    async fn call(
        &self,
        address: &str,
        call: backend_server::ServiceCall,
    ) -> Result<backend_server::ServiceResponse, backend_server::BackendServerError> {
        self.note(format!("call {address} {} {}", call.method, call.path));
        let step = self.script.lock().unwrap().pop_front();
        self.note_run(step.as_ref());
        let (status, body) = match step {
            None => (200, "ok"),
            Some(Step::Answer(status, body)) => (status, body),
            Some(Step::Late(delay, status, body)) => {
                tokio::time::sleep(delay).await;
                (status, body)
            }
            Some(Step::Fail(err)) => return Err(err),
            Some(Step::Hang) => std::future::pending().await,
            Some(_) => panic!("a call met a step for prompts"),
        };
        Ok(backend_server::ServiceResponse {
            epoch: None,
            status,
            content_type: Some("text/plain".to_owned()),
            body: Bytes::from_static(body.as_bytes()),
        })
    }
}
