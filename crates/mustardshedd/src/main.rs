//! The entry daemon of mustardshed.

use std::process::ExitCode;

use mustardshedd::process::{service, startup};

mod flags {
    use std::path;

    type File = path::PathBuf;

    xflags::xflags! {
        /// Entry daemon of mustardshed.
        ///
        /// Exit codes: 0 left as planned, 1 could not run, 2 wrong command line or settings.
        cmd mustardshedd {
            /// File with the settings, in TOML.
            required --settings file: File
            /// Check the settings and exit.
            optional --check
        }
    }
}

/// Exit code for a wrong command line or settings.
const EXIT_USAGE: u8 = 2;

fn main() -> ExitCode {
    let flags = flags::Mustardshedd::from_env_or_exit();
    let start = match startup::read(&flags.settings) {
        Ok(start) => start,
        Err(e) => {
            eprintln!("{e}");
            return ExitCode::from(EXIT_USAGE);
        }
    };
    if flags.check {
        println!("{}: ok", flags.settings.display());
        return ExitCode::SUCCESS;
    }
    match service::run(start) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("{e}");
            ExitCode::FAILURE
        }
    }
}
