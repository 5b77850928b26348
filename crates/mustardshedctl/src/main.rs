//! Operators' client of mustardshed.

mod flags;
mod run;

use std::process;

use mustardshedctl::output;

fn main() -> process::ExitCode {
    let flags = flags::Mustardshedctl::from_env_or_exit();
    let as_json = flags.json;
    let output = run::run(flags).unwrap_or_else(|failure| output::Output::from(&failure));
    output.print(as_json);
    output.status.into()
}
