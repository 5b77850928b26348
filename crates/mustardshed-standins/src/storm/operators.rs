//! Operators who change the configuration through `mustardshedctl`.

use std::{sync, time};

use crate::fleet::{self, files};

/// Pause before another attempt to restore data centres after a failure.
const RETRY_PAUSE: time::Duration = time::Duration::from_millis(500);
/// Maximum number of attempts to restore a data centre.
const MAX_TRIES: u32 = 60;

/// Simulated operators of a fleet.
#[derive(Debug)]
pub struct Operators {
    files: files::Files,
    platform: String,
    ended: sync::Mutex<Vec<String>>,
}

impl Operators {
    /// Creates the operators of a fleet.
    pub fn new(fleet: &fleet::Fleet) -> Self {
        Self {
            files: fleet.files.clone(),
            platform: fleet.platform.url(),
            ended: sync::Mutex::default(),
        }
    }

    /// Runs three operator commands concurrently, then restores the data centre.
    pub async fn race(&self, data_centre: &str) {
        let text = self.files.text_file.display().to_string();
        let out = ["data-centre", "out", data_centre];
        let apply = ["apply", text.as_str()];
        let back = ["data-centre", "in", data_centre];
        tokio::join!(self.run(&out), self.run(&apply), self.run(&back));
        self.restore(data_centre).await;
    }

    /// Takes a data centre out of service for a while, then restores it.
    pub async fn out_and_back(&self, data_centre: &str, lasts: time::Duration) {
        self.run(&["data-centre", "out", data_centre]).await;
        tokio::time::sleep(lasts).await;
        self.restore(data_centre).await;
    }

    /// Returns the result of each command.
    pub fn ended(&self) -> Vec<String> {
        self.lock().clone()
    }

    fn lock(&self) -> sync::MutexGuard<'_, Vec<String>> {
        self.ended
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    async fn restore(&self, data_centre: &str) {
        for _ in 0..MAX_TRIES {
            if self.run(&["data-centre", "in", data_centre]).await {
                return;
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }

    /// Runs a command and returns whether it succeeded.
    async fn run(&self, args: &[&str]) -> bool {
        let ran = self.files.ctl(&self.platform, args).await;
        let name = args[..2.min(args.len())].join(" ");
        let ended = match &ran {
            Ok(_) => format!("{name}: done"),
            Err(e) => format!("{name}: {}", status_of(&e.to_string())),
        };
        self.lock().push(ended);
        ran.is_ok()
    }
}

/// Returns the part of a failure that names the exit status.
fn status_of(failure: &str) -> String {
    let begin = failure.find("exit status");
    let status = begin.and_then(|at| failure.get(at..at + 14));
    status.unwrap_or(failure).to_owned()
}
