//! Load scenarios, with the changes made to the fleet during the load.

use std::{fmt, time};

use crate::{
    experiment::{ExperimentError, Run, deployment},
    fleet,
    load::plan,
};

/// Requests of a large account for each request of a small one.
const LARGE_WEIGHT: u32 = 8;
/// Requests of a flooding account for each request of its fair share.
const FLOOD: u32 = 10;
/// Data centre that is taken out of service and restored.
const DATA_CENTRE: &str = "mid";
/// Percentage by which the steps of a slow engine take longer.
const SLOW_PERCENT: u32 = 900;

/// Load, and changes to the fleet during it; loads are shares of the nominal capacity.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Scenario {
    /// Short and long prompts.
    Mixed(f64),
    /// Only the short prompts of a mixed load.
    ShortOnly(f64),
    /// A data centre is taken out of service after one third of the time, and restored after two.
    DataCentreOut(f64),
    /// The steps of one engine take ten times as long in the second third of the time.
    SlowEngine(f64),
    /// One small account sends ten times as much as the others.
    Flood(f64),
    /// Three times the nominal capacity, with timeouts of 30 s.
    Overload,
}

impl Scenario {
    /// Returns the load as a share of the nominal capacity.
    pub const fn load(self) -> f64 {
        match self {
            Self::Mixed(load)
            | Self::ShortOnly(load)
            | Self::DataCentreOut(load)
            | Self::SlowEngine(load)
            | Self::Flood(load) => load,
            Self::Overload => 3.0,
        }
    }

    /// Returns whether long prompts are left out.
    pub const fn is_short_only(self) -> bool {
        matches!(self, Self::ShortOnly(_))
    }

    /// Returns the timeout of every request.
    pub const fn deadline(self) -> time::Duration {
        match self {
            Self::Overload => time::Duration::from_secs(30),
            _ => time::Duration::from_secs(600),
        }
    }

    /// Returns the client accounts, with their shares of the load.
    pub fn accounts(self) -> Vec<plan::Account> {
        let accounts = deployment::accounts().into_iter();
        let mut accounts: Vec<plan::Account> = accounts
            .map(|(name, _)| plan::Account {
                key: fleet::key_of(&name),
                weight: if name.starts_with("large") {
                    LARGE_WEIGHT
                } else {
                    1
                },
                name,
            })
            .collect();
        if let (Self::Flood(_), Some(last)) = (self, accounts.last_mut()) {
            last.weight *= FLOOD;
        }
        accounts
    }

    /// Applies the scenario's changes to the fleet during the load.
    ///
    /// # Errors
    ///
    /// Returns an error if an operator's command fails.
    pub async fn change(self, fleet: &fleet::Fleet, run: &Run) -> Result<(), ExperimentError> {
        let third = run.duration.div_f64(3.0 * run.time_scale);
        match self {
            Self::DataCentreOut(_) => {
                tokio::time::sleep(third).await;
                fleet.ctl(&["data-centre", "out", DATA_CENTRE]).await?;
                tokio::time::sleep(third).await;
                fleet.ctl(&["data-centre", "in", DATA_CENTRE]).await?;
            }
            Self::SlowEngine(_) => {
                tokio::time::sleep(third).await;
                slow_down(fleet, SLOW_PERCENT).await?;
                tokio::time::sleep(third).await;
                slow_down(fleet, 0).await?;
            }
            _ => {}
        }
        Ok(())
    }
}

/// Makes the steps of the first engine take `percent` longer.
async fn slow_down(fleet: &fleet::Fleet, percent: u32) -> Result<(), ExperimentError> {
    if let Some(engine) = fleet.engines.first() {
        let faults = serde_json::json!({ "slow_percent": percent });
        fleet.set_faults(engine, &faults).await?;
    }
    Ok(())
}

impl fmt::Display for Scenario {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let percent = self.load() * 100.0;
        match self {
            Self::Mixed(_) => write!(f, "mixed at {percent:.0}%"),
            Self::ShortOnly(_) => write!(f, "short only at {percent:.0}%"),
            Self::DataCentreOut(_) => write!(f, "data centre out and back at {percent:.0}%"),
            Self::SlowEngine(_) => write!(f, "one engine slow at {percent:.0}%"),
            Self::Flood(_) => write!(f, "one account floods at {percent:.0}%"),
            Self::Overload => write!(f, "overload at {percent:.0}%"),
        }
    }
}
