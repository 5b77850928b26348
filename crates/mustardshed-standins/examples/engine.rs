//! Stand-in for a model engine; see `docs/STANDINS.md`.

// The flags macro takes no paths as types.
use std::{error, net::SocketAddr};

use mustardshed_standins::{
    delay,
    engine::{server, settings},
};

type Delay = delay::Flag;

#[tokio::main]
async fn main() -> Result<(), Box<dyn error::Error>> {
    let settings = settings_of_flags()?;
    let mut engine = server::Engine::bind(settings).await?;
    println!("LISTENING {}", engine.address());
    engine.wait().await;
    Ok(())
}

fn settings_of_flags() -> Result<settings::Settings, Box<dyn error::Error>> {
    let flags = xflags::parse_or_exit! {
        /// Address to listen on, as IP:PORT
        optional --listen address: SocketAddr
        /// Name of the engine
        optional --name name: String
        /// Data centre of the engine
        optional --data-centre name: String
        /// KV memory in tokens
        optional --memory-tokens tokens: u64
        /// Prefill speed in tokens per second
        optional --prefill-tps speed: f64
        /// Decode steps per second
        optional --decode-tps speed: f64
        /// Requests at once
        optional --max-running count: usize
        /// Requests at once beyond which a cold engine crashes
        optional --cold-limit count: usize
        /// Finished requests after which a cold engine is warm
        optional --warm-after count: u64
        /// Prefill tokens in a step
        optional --chunk-tokens tokens: u64
        /// Fencing numbers: checked or ignored
        optional --fencing mode: String
        /// Model that is loaded, as NAME=VERSION
        repeated --model model: String
        /// Start cold
        optional --start-cold
        /// Seconds of the engine's clock per second of the wall clock
        optional --time-scale factor: f64
        /// One-way delay to an entry in microseconds, as VM=MICROSECONDS
        repeated --delay delay: Delay
    };
    let base = settings::Settings::default();
    Ok(settings::Settings {
        listen: flags.listen.unwrap_or(base.listen),
        name: flags.name.unwrap_or(base.name),
        data_centre: flags.data_centre.unwrap_or(base.data_centre),
        memory_tokens: flags.memory_tokens.unwrap_or(base.memory_tokens),
        prefill_tps: flags.prefill_tps.unwrap_or(base.prefill_tps),
        decode_tps: flags.decode_tps.unwrap_or(base.decode_tps),
        max_running: flags.max_running.unwrap_or(base.max_running),
        cold_limit: flags.cold_limit.unwrap_or(base.cold_limit),
        warm_after: flags.warm_after.unwrap_or(base.warm_after),
        chunk_tokens: flags.chunk_tokens.unwrap_or(base.chunk_tokens),
        fencing: fencing_of(flags.fencing.as_deref())?,
        models: flags
            .model
            .iter()
            .map(|m| model_of(m))
            .collect::<Result<_, _>>()?,
        start_cold: flags.start_cold,
        time_scale: flags.time_scale.unwrap_or(base.time_scale),
        delays: flags.delay.into(),
    })
}

fn fencing_of(mode: Option<&str>) -> Result<settings::Fencing, String> {
    match mode {
        None | Some("checked") => Ok(settings::Fencing::Checked),
        Some("ignored") => Ok(settings::Fencing::Ignored),
        Some(other) => Err(format!("--fencing {other}: expected checked or ignored")),
    }
}

fn model_of(text: &str) -> Result<(String, String), String> {
    let (name, version) = text
        .split_once('=')
        .ok_or_else(|| format!("--model {text}: expected NAME=VERSION"))?;
    Ok((name.to_owned(), version.to_owned()))
}
