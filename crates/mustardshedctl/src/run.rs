//! Runs the subcommand that the command line selects.

use std::{env, fs, path, time};

use mustardshed::platform;
use mustardshedctl::{apply, commands, entries, failure};
use tokio::runtime;

use crate::flags;

/// Default timeout of one call.
const CALL_TIMEOUT: time::Duration = time::Duration::from_secs(3);
/// Default of the longest wait for confirmations.
const WAIT_TIMEOUT: time::Duration = time::Duration::from_secs(15);
/// Name under which the platform counts the calls of this program.
const CALLER: &str = "mustardshedctl";
/// Author of records if the environment names no user.
const UNKNOWN_AUTHOR: &str = "unknown";

/// Runs the subcommand and returns its output.
pub fn run(flags: flags::Mustardshedctl) -> commands::Result {
    match &flags.subcommand {
        flags::MustardshedctlCmd::Check(check) => {
            return commands::check::run(&read_file(&check.file)?);
        }
        flags::MustardshedctlCmd::CheckForwarding(check) => return check_forwarding(check),
        _ => {}
    }
    let runtime = runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|err| failure::Failure::Internal(err.to_string()))?;
    runtime.block_on(dispatch(flags))
}

async fn dispatch(flags: flags::Mustardshedctl) -> commands::Result {
    let cx = context(&flags)?;
    match flags.subcommand {
        flags::MustardshedctlCmd::Check(check) => commands::check::run(&read_file(&check.file)?),
        flags::MustardshedctlCmd::CheckForwarding(check) => check_forwarding(&check),
        flags::MustardshedctlCmd::Diff(diff) => {
            commands::diff::run(&cx, &read_file(&diff.file)?).await
        }
        flags::MustardshedctlCmd::Apply(apply) => {
            let edit = apply::Edit::Text(read_file(&apply.file)?);
            commands::apply::run(&cx, &edit, apply.expect, apply.wait).await
        }
        flags::MustardshedctlCmd::Get(get) => commands::get::run(&cx, get.generation).await,
        flags::MustardshedctlCmd::History(_) => commands::history::run(&cx).await,
        flags::MustardshedctlCmd::DataCentre(data_centre) => {
            change_data_centre(&cx, data_centre.subcommand).await
        }
        flags::MustardshedctlCmd::Status(_) => commands::status::run(&cx).await,
        flags::MustardshedctlCmd::Request(request) => {
            commands::request::run(&cx, &request.id).await
        }
        flags::MustardshedctlCmd::Explain(explain) => {
            let query = entries::ExplainQuery {
                account: explain.account,
                service: explain.service,
                tokens: explain.tokens,
            };
            commands::explain::run(&cx, &query).await
        }
    }
}

fn check_forwarding(check: &flags::CheckForwarding) -> commands::Result {
    let against = check.against.as_deref().map(read_file).transpose()?;
    commands::check_forwarding::run(&read_file(&check.file)?, against.as_deref())
}

async fn change_data_centre(
    cx: &commands::context::Context,
    command: flags::DataCentreCmd,
) -> commands::Result {
    match command {
        flags::DataCentreCmd::Out(out) => {
            let edit = apply::Edit::DataCentreOut(out.name);
            commands::apply::run(cx, &edit, None, out.wait).await
        }
        flags::DataCentreCmd::In(cmd) => {
            let edit = apply::Edit::DataCentreIn(cmd.name);
            commands::apply::run(cx, &edit, None, cmd.wait).await
        }
        flags::DataCentreCmd::List(_) => commands::data_centre::list(cx).await,
    }
}

fn context(flags: &flags::Mustardshedctl) -> Result<commands::context::Context, failure::Failure> {
    let timeout = flags
        .timeout_ms
        .map_or(CALL_TIMEOUT, time::Duration::from_millis);
    let mut cx = commands::context::Context {
        platform: None,
        entries: None,
        addresses: flags.entry.clone(),
        author: author(),
        wait_timeout: wait_timeout(&flags.subcommand),
    };
    if let Some(url) = &flags.platform {
        let client = platform::client::Client::open(url, CALLER, timeout).map_err(usage)?;
        cx.platform = Some(Box::new(client));
    }
    if let Some(file) = &flags.operator_key_file {
        let key = read_file(file)?;
        let client = entries::Client::open(key.trim(), timeout).map_err(usage)?;
        cx.entries = Some(Box::new(client));
    }
    Ok(cx)
}

fn wait_timeout(command: &flags::MustardshedctlCmd) -> time::Duration {
    let wait_ms = match command {
        flags::MustardshedctlCmd::Apply(apply) => apply.wait_ms,
        flags::MustardshedctlCmd::DataCentre(data_centre) => match &data_centre.subcommand {
            flags::DataCentreCmd::Out(out) => out.wait_ms,
            flags::DataCentreCmd::In(cmd) => cmd.wait_ms,
            flags::DataCentreCmd::List(_) => None,
        },
        _ => None,
    };
    wait_ms.map_or(WAIT_TIMEOUT, time::Duration::from_millis)
}

fn author() -> String {
    let user = env::var("USER").unwrap_or_default();
    if user.is_empty() {
        UNKNOWN_AUTHOR.to_owned()
    } else {
        user
    }
}

fn read_file(file: &path::Path) -> Result<String, failure::Failure> {
    let read = fs::read_to_string(file);
    read.map_err(|err| usage(format!("cannot read {}: {err}", file.display())))
}

fn usage(reason: impl ToString) -> failure::Failure {
    failure::Failure::Usage(reason.to_string())
}
