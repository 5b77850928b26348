//! Specification of a fleet.

use std::time;

use super::{files, key_of};

/// Number of requests that a cold engine must finish to become warm.
const WARM_AFTER: u32 = 4;
/// Maximum number of concurrent calls at a server of a plain service.
const SERVICE_MAX_RUNNING: u32 = 64;
/// Maximum number of concurrent calls that a cold server of a plain service can handle.
pub const SERVICE_COLD_LIMIT: u32 = 4;

/// A model engine of a fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct Engine {
    /// Name of its VM.
    pub name: String,
    /// Engine kind.
    pub kind: String,
    /// Data centre.
    pub data_centre: String,
    /// KV memory, in tokens.
    pub memory_tokens: u64,
    /// Prefill speed, in tokens per second.
    pub prefill_tps: u32,
    /// Decode speed, in steps per second.
    pub decode_tps: u32,
    /// Maximum number of prefill tokens per step.
    pub chunk_tokens: u64,
    /// Maximum number of concurrent requests.
    pub max_running: u32,
    /// Maximum number of concurrent requests that it can handle while cold.
    pub cold_limit: u32,
    /// Model that it has loaded, if any.
    pub model: String,
    /// Whether it refuses orders with old fencing numbers: `checked` or `ignored`.
    pub fencing: String,
    /// Whether it starts cold.
    pub start_cold: bool,
}

impl Engine {
    /// Returns its command-line arguments.
    pub fn args(&self) -> Vec<String> {
        let mut args = vec![
            format!("--name={}", self.name),
            format!("--data-centre={}", self.data_centre),
            format!("--memory-tokens={}", self.memory_tokens),
            format!("--prefill-tps={}", self.prefill_tps),
            format!("--decode-tps={}", self.decode_tps),
            format!("--chunk-tokens={}", self.chunk_tokens),
            format!("--max-running={}", self.max_running),
            format!("--cold-limit={}", self.cold_limit),
            format!("--model={}=1", self.model),
            format!("--fencing={}", self.fencing),
            format!("--warm-after={WARM_AFTER}"),
        ];
        if self.start_cold {
            args.push("--start-cold".to_owned());
        }
        args.into_iter().flat_map(|arg| split(&arg)).collect()
    }

    /// Returns its item in the platform's list.
    pub fn vm(&self, address: &str) -> serde_json::Value {
        backend_server(&self.name, &self.kind, address, &self.data_centre)
    }
}

/// A server of a plain service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Service {
    /// Name of its VM.
    pub name: String,
    /// Service.
    pub kind: String,
    /// Data centre.
    pub data_centre: String,
}

impl Service {
    /// Returns its command-line arguments.
    pub fn args(&self) -> Vec<String> {
        [
            format!("--name={}", self.name),
            format!("--data-centre={}", self.data_centre),
            "--non-repeatable=POST /charge".to_owned(),
            format!("--max-running={SERVICE_MAX_RUNNING}"),
            format!("--cold-limit={SERVICE_COLD_LIMIT}"),
        ]
        .iter()
        .flat_map(|arg| split(arg))
        .collect()
    }

    /// Returns its item in the platform's list.
    pub fn vm(&self, address: &str) -> serde_json::Value {
        backend_server(&self.name, &self.kind, address, &self.data_centre)
    }
}

/// Specification of a fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct Spec {
    /// Data centres.
    pub data_centres: Vec<String>,
    /// Engines.
    pub engines: Vec<Engine>,
    /// Servers of plain services.
    pub services: Vec<Service>,
    /// Number of entries, spread over the data centres in turn.
    pub entries: usize,
    /// Client accounts with their weights.
    pub accounts: Vec<(String, u32)>,
    /// Factor by which the engines run faster than specified.
    pub time_scale: f64,
    /// Policy by which entries choose engines, as named in their settings.
    pub routing: &'static str,
    /// One-way delay between data centres, which backend servers add to calls of entries.
    pub delay_between: time::Duration,
}

impl Spec {
    /// Returns a fleet of `engines` engines of one kind and a plain service in three data centres.
    pub fn small(engines: usize, entries: usize) -> Self {
        let data_centres: Vec<String> = ["east", "mid", "west"].map(str::to_owned).to_vec();
        let engine = |i: usize| Engine {
            name: format!("engine-{i}"),
            kind: "drafting".to_owned(),
            data_centre: data_centres[i % data_centres.len()].clone(),
            memory_tokens: 400_000,
            prefill_tps: 40_000,
            decode_tps: 50,
            chunk_tokens: 1_024,
            max_running: 32,
            cold_limit: 2,
            model: "psalter".to_owned(),
            fencing: "checked".to_owned(),
            start_cold: false,
        };
        Self {
            engines: (0..engines).map(engine).collect(),
            services: vec![Service {
                name: "payments-0".to_owned(),
                kind: "payments".to_owned(),
                data_centre: data_centres[0].clone(),
            }],
            entries,
            accounts: vec![("st-marks".to_owned(), 1), ("grace".to_owned(), 1)],
            time_scale: 10.0,
            routing: "estimate",
            delay_between: time::Duration::ZERO,
            data_centres,
        }
    }

    /// Returns the data centre of the entry with this index.
    pub fn entry_data_centre(&self, i: usize) -> &str {
        &self.data_centres[i % self.data_centres.len()]
    }

    /// Returns the arguments that set the delays of a backend server in a data centre.
    pub fn delay_args(&self, data_centre: &str) -> Vec<String> {
        if self.delay_between.is_zero() {
            return Vec::new();
        }
        let us = self.delay_between.as_micros();
        (0..self.entries)
            .filter(|i| self.entry_data_centre(*i) != data_centre)
            .flat_map(|i| ["--delay".to_owned(), format!("entry-{i}={us}")])
            .collect()
    }

    /// Returns the operators' configuration for this fleet.
    pub fn text(&self) -> String {
        let mut text = String::new();
        for name in &self.data_centres {
            text += &format!("[[data_centre]]\nname = \"{name}\"\nregion = \"gulf\"\n\n");
        }
        let mut kinds: Vec<&Engine> = Vec::new();
        for engine in &self.engines {
            if !kinds.iter().any(|known| known.kind == engine.kind) {
                kinds.push(engine);
            }
        }
        for engine in kinds {
            text += &self.kind_text(engine);
        }
        text += &format!(
            "[[service]]\nname = \"payments\"\ndepends_on = []\n\
             plain = {{ non_repeatable = [\"POST /charge\"], max_running = {SERVICE_MAX_RUNNING}, \
             cold_limit = {SERVICE_COLD_LIMIT} }}\n\n"
        );
        for (name, weight) in &self.accounts {
            let digest = files::digest(&key_of(name));
            text += &format!(
                "[[client_account]]\nname = \"{name}\"\nkey_sha256 = [\"{digest}\"]\n\
                 weight = {weight}\nmax_running = 4096\n\n"
            );
        }
        text
    }

    fn kind_text(&self, engine: &Engine) -> String {
        let speed = (f64::from(engine.prefill_tps) * self.time_scale) as u64;
        format!(
            "[[engine_kind]]\nname = \"{kind}\"\nmemory_tokens = {memory}\n\
             max_running = {running}\ncold_limit = {cold}\nwarm_after = {WARM_AFTER}\n\
             prefill_tokens_per_second = {speed}\nfencing = \"{fencing}\"\n\n\
             [[model]]\nname = \"{model}\"\nengine_kind = \"{kind}\"\nversion = \"1\"\n\
             context_tokens = 1048576\n\n\
             [[service]]\nname = \"{kind}-drafts\"\nmodel = \"{model}\"\n\
             max_deadline_ms = 3600000\n\n",
            kind = engine.kind,
            memory = engine.memory_tokens,
            running = engine.max_running,
            cold = engine.cold_limit,
            model = engine.model,
            fencing = engine.fencing,
        )
    }
}

fn backend_server(id: &str, kind: &str, address: &str, data_centre: &str) -> serde_json::Value {
    serde_json::json!({
        "id": id,
        "role": "backend_server",
        "kind": kind,
        "address": address,
        "peer_address": "",
        "data_centre": data_centre,
        "state": "live",
    })
}

/// Splits `--key=value` in two, since the programs take flag and value as separate arguments.
fn split(arg: &str) -> Vec<String> {
    arg.splitn(2, '=').map(str::to_owned).collect()
}
