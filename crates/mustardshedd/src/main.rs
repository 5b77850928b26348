//! The entry daemon of mustardshed.

use std::process::ExitCode;

use mustardshedd::{
    forward::service as forwarding,
    process::{service, startup},
};

mod flags {
    use std::path;

    type File = path::PathBuf;

    xflags::xflags! {
        /// Entry daemon of mustardshed.
        ///
        /// Exit codes: 0 left as planned, 1 could not run, 2 wrong command line or settings.
        cmd mustardshedd {
            /// File with the settings, in TOML.
            optional --settings file: File
            /// Forward requests on the users' platform; without --settings, the settings are where
            /// the variable MUSTARDSHED_CONFIG says.
            optional --forwarding
            /// Check the settings and exit.
            optional --check
        }
    }
}

/// Exit code for a wrong command line or settings.
const EXIT_USAGE: u8 = 2;

fn main() -> ExitCode {
    let flags = flags::Mustardshedd::from_env_or_exit();
    if flags.forwarding {
        return forward(flags);
    }
    let Some(settings) = flags.settings else {
        eprintln!("flag is required: --settings");
        return ExitCode::from(EXIT_USAGE);
    };
    let loaded = match startup::read(&settings) {
        Ok(loaded) => loaded,
        Err(e) => {
            eprintln!("{e}");
            return ExitCode::from(EXIT_USAGE);
        }
    };
    if flags.check {
        println!("{}: ok", settings.display());
        return ExitCode::SUCCESS;
    }
    match service::run(loaded) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("{e}");
            ExitCode::FAILURE
        }
    }
}

/// Runs an entry that forwards requests on the users' platform.
fn forward(flags: flags::Mustardshedd) -> ExitCode {
    let settings = match forwarding::read(flags.settings) {
        Ok(settings) => settings,
        Err(e) => {
            eprintln!("{e}");
            return ExitCode::from(EXIT_USAGE);
        }
    };
    if flags.check {
        println!("{}: ok", settings.vm);
        return ExitCode::SUCCESS;
    }
    match forwarding::run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("{e}");
            ExitCode::FAILURE
        }
    }
}
