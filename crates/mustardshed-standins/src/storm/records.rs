//! Records that are read from the stand-ins.

use std::collections;

use serde::Deserialize;

use crate::fleet::{Fleet, FleetError, process};

/// A request that reached an engine.
#[derive(Clone, Debug, Deserialize)]
pub struct EngineRequest {
    /// Identifier.
    pub id: String,
    /// Time of arrival in Unix milliseconds.
    pub at_ms: u64,
    /// Reason for its refusal.
    pub refused: Option<String>,
    /// How the request ended.
    pub outcome: String,
}

/// Records of an engine.
#[derive(Clone, Debug, Deserialize)]
pub struct EngineRecords {
    /// Requests, the oldest first.
    pub requests: Vec<EngineRequest>,
    /// Number of times it fell over.
    pub fell_over: u64,
    /// Peak number of concurrent requests while it was cold.
    pub max_running_cold: u64,
    /// Tokens held or reserved.
    pub used_tokens: u64,
    /// Tokens reserved.
    pub reserved_tokens: u64,
}

/// A call that a server of a plain service executed.
#[derive(Clone, Debug, Deserialize)]
pub struct Execution {
    /// Sequence number of the execution.
    pub execution: u64,
    /// Identifier that the entry gave the call.
    pub request_id: String,
    /// Time of its start in Unix milliseconds.
    pub at_ms: u64,
    /// Digest of the body in hexadecimal digits.
    pub body_sha256: String,
}

/// Counts of a server of a plain service.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct ServiceCounts {
    /// Number of times it fell over.
    pub fell_over: u64,
    /// Peak number of concurrent calls while it was cold.
    pub max_running_cold: u64,
}

/// Records of a server of a plain service.
#[derive(Clone, Debug)]
pub struct ServiceRecords {
    /// Executions, the oldest first.
    pub executions: Vec<Execution>,
    /// Counts.
    pub counts: ServiceCounts,
}

/// A write that the platform carried out.
#[derive(Clone, Debug, Deserialize)]
pub struct Write {
    /// Time in Unix milliseconds.
    pub at_ms: u64,
    /// Kind of the object.
    pub kind: String,
    /// Name of the object.
    pub name: String,
}

/// A configuration that was accepted.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Accepted {
    /// Generation.
    pub generation: u64,
    /// Time of the accepting write in Unix milliseconds.
    pub at_ms: u64,
    /// Data centres that it takes out of service; `None` if its history was not kept.
    pub data_centres_out: Option<collections::BTreeSet<String>>,
}

/// Number of calls by caller and purpose.
pub type CallCounts = collections::BTreeMap<String, collections::BTreeMap<String, u64>>;

/// Records of all stand-ins.
#[derive(Clone, Debug)]
pub struct Records {
    /// Engines, by name.
    pub engines: collections::BTreeMap<String, EngineRecords>,
    /// Servers of plain services, by name.
    pub services: collections::BTreeMap<String, ServiceRecords>,
    /// Accepted configurations in their order.
    pub accepted: Vec<Accepted>,
}

impl Records {
    /// Reads the records of a fleet's stand-ins.
    ///
    /// # Errors
    ///
    /// Returns an error if a stand-in does not answer as expected.
    pub async fn read(fleet: &Fleet) -> Result<Self, FleetError> {
        let mut engines = collections::BTreeMap::new();
        for engine in &fleet.engines {
            let records = get(fleet, engine, "/admin/records").await?;
            engines.insert(engine.name.clone(), records);
        }
        let mut services = collections::BTreeMap::new();
        for service in &fleet.services {
            let records = ServiceRecords {
                executions: get(fleet, service, "/admin/records").await?,
                counts: get(fleet, service, "/admin/counts").await?,
            };
            services.insert(service.name.clone(), records);
        }
        Ok(Self {
            engines,
            services,
            accepted: accepted(fleet).await?,
        })
    }

    /// Returns the identifiers of the requests that an engine accepted or a service executed.
    pub fn ran(&self) -> collections::BTreeSet<&str> {
        let accepted = self
            .engines
            .values()
            .flat_map(|records| &records.requests)
            .filter(|req| req.refused.is_none())
            .map(|req| req.id.as_str());
        let executed = self.executions();
        let executed = executed.map(|(_, execution)| execution.request_id.as_str());
        accepted.chain(executed).collect()
    }

    /// Returns the names of engines that accepted a request.
    pub fn engines_that_ran(&self, id: &str) -> Vec<&str> {
        let ran = |records: &EngineRecords| {
            let mut requests = records.requests.iter();
            requests.any(|req| req.id == id && req.refused.is_none())
        };
        let engines = self.engines.iter().filter(|(_, records)| ran(records));
        engines.map(|(name, _)| name.as_str()).collect()
    }

    /// Returns all executions by the servers of plain services, each with its server's name.
    pub fn executions(&self) -> impl Iterator<Item = (&str, &Execution)> {
        self.services.iter().flat_map(|(name, records)| {
            let executions = records.executions.iter();
            executions.map(move |execution| (name.as_str(), execution))
        })
    }
}

/// Reads the number of platform calls by caller and purpose.
///
/// # Errors
///
/// Returns an error if the platform does not answer as expected.
pub async fn call_counts(fleet: &Fleet) -> Result<CallCounts, FleetError> {
    #[derive(Deserialize)]
    struct Calls {
        by_caller: CallCounts,
    }
    let calls: Calls = get(fleet, &fleet.platform, "/admin/calls").await?;
    Ok(calls.by_caller)
}

async fn get<T: serde::de::DeserializeOwned>(
    fleet: &Fleet,
    process: &process::Process,
    path: &str,
) -> Result<T, FleetError> {
    let url = format!("{}{path}", process.url());
    let body = fleet.get(&url).await?;
    serde_json::from_value(body).map_err(|e| FleetError::Call(url, e.to_string()))
}

/// Returns the accepted configurations: each write of the current one accepts one.
async fn accepted(fleet: &Fleet) -> Result<Vec<Accepted>, FleetError> {
    let writes: Vec<Write> = get(fleet, &fleet.platform, "/admin/writes").await?;
    let is_current = |write: &&Write| write.kind == "configuration" && write.name == "current";
    let histories = histories(fleet).await?;
    let writes = writes.iter().filter(is_current).zip(1..);
    let accepted = writes.map(|(write, generation)| Accepted {
        generation,
        at_ms: write.at_ms,
        data_centres_out: histories.get(&generation).cloned(),
    });
    Ok(accepted.collect())
}

type Histories = collections::BTreeMap<u64, collections::BTreeSet<String>>;

async fn histories(fleet: &Fleet) -> Result<Histories, FleetError> {
    #[derive(Deserialize)]
    struct Item {
        generation: u64,
        data_centres_out: collections::BTreeSet<String>,
    }
    #[derive(Deserialize)]
    struct History {
        history: Vec<Item>,
    }
    let text = fleet.ctl(&["--json", "history"]).await?;
    let unreadable = |e: serde_json::Error| FleetError::Call("history".to_owned(), e.to_string());
    let history: History = serde_json::from_str(&text).map_err(unreadable)?;
    let items = history.history.into_iter();
    Ok(items
        .map(|item| (item.generation, item.data_centres_out))
        .collect())
}
