//! The command line.

// The xflags macro accepts this type only by its unqualified name.
use std::path::PathBuf;

xflags::xflags! {
    src "./src/flags.rs"

    /// Operators' client of mustardshed.
    ///
    /// Applies the configuration text, takes data centres out of and back into service, and shows what is in force.
    /// A change is announced to the entries, written to the platform on the condition that the configuration has not
    /// changed since it was read, and then committed to the entries.
    ///
    /// EXIT STATUS:
    ///     0  done
    ///     1  failed, and nothing was written (the platform or the entries cannot be reached, or refused)
    ///     2  the command line or the configuration text is not valid
    ///     3  conflict: somebody else changed the configuration first; shows what changed; nothing was written
    ///     4  unknown whether it was written: the response was lost and reading back did not settle it
    ///     5  accepted, but not confirmed by all live entries before the wait timed out
    cmd mustardshedctl {
        /// Base URL of the platform's object API, such as http://10.0.0.2:7000. Required except by check and check-forwarding.
        optional --platform url: String
        /// File that holds the operators' key. Required by apply, data-centre out and in, status, request and explain.
        optional --operator-key-file file: PathBuf
        /// Entry to query instead of those on the platform's list (status, request, explain), as IP:PORT.
        repeated --entry address: String
        /// Print one line of JSON on standard output.
        optional --json
        /// Timeout of each call, in milliseconds. 3000 by default.
        optional --timeout-ms n: u64

        /// Checks a configuration text and changes nothing; prints every problem with its line, key, value and reason.
        cmd check {
            /// The configuration text, in TOML.
            required file: PathBuf
        }

        /// Checks the configuration of forwarding entries, in JSON as the platform holds it; changes nothing.
        cmd check-forwarding {
            /// The configuration: the spec of the platform's object config/main.
            required file: PathBuf
            /// The version in force: shows what differs from it.
            optional --against file: PathBuf
        }

        /// Shows what a configuration text would change.
        cmd diff {
            /// The configuration text, in TOML.
            required file: PathBuf
        }

        /// Puts a configuration text in force. Data centres stay out of or in service as they are.
        cmd apply {
            /// The configuration text, in TOML.
            required file: PathBuf
            /// Wait until every live entry has it in force.
            optional --wait
            /// Longest wait, in milliseconds. 15000 by default.
            optional --wait-ms n: u64
            /// Write only if the configuration still has this generation (0: there is none yet).
            optional --expect generation: u64
        }

        /// Prints the configuration text in force, or that of an earlier generation.
        cmd get {
            /// Generation to print.
            optional --generation n: u64
        }

        /// Lists the accepted configurations and what each of them changed.
        cmd history {
        }

        /// Takes data centres out of service and brings them back.
        cmd data-centre {
            /// Takes a data centre out of service: it gets no new work; work in flight goes on.
            cmd out {
                /// Name of the data centre.
                required name: String
                /// Wait until every live entry has it in force.
                optional --wait
                /// Longest wait, in milliseconds. 15000 by default.
                optional --wait-ms n: u64
            }

            /// Brings a data centre back into service.
            cmd in {
                /// Name of the data centre.
                required name: String
                /// Wait until every live entry has it in force.
                optional --wait
                /// Longest wait, in milliseconds. 15000 by default.
                optional --wait-ms n: u64
            }

            /// Lists the data centres and which of them are out.
            cmd list {
            }
        }

        /// Shows the generation in force at each entry, its members, and the state of the backend servers.
        cmd status {
        }

        /// Shows the fate of a request.
        cmd request {
            /// Identifier of the request, as its caller got it.
            required id: String
        }

        /// Shows where a prompt would be routed, and why.
        cmd explain {
            /// Client account.
            required --account name: String
            /// Service.
            required --service name: String
            /// Length of the prompt, in tokens.
            required --tokens n: u64
        }
    }
}
// generated start
// The following code is generated by `xflags` macro.
// Run `env UPDATE_XFLAGS=1 cargo build` to regenerate.
#[derive(Debug)]
pub struct Mustardshedctl {
    pub platform: Option<String>,
    pub operator_key_file: Option<PathBuf>,
    pub entry: Vec<String>,
    pub json: bool,
    pub timeout_ms: Option<u64>,
    pub subcommand: MustardshedctlCmd,
}

#[derive(Debug)]
pub enum MustardshedctlCmd {
    Check(Check),
    CheckForwarding(CheckForwarding),
    Diff(Diff),
    Apply(Apply),
    Get(Get),
    History(History),
    DataCentre(DataCentre),
    Status(Status),
    Request(Request),
    Explain(Explain),
}

#[derive(Debug)]
pub struct Check {
    pub file: PathBuf,
}

#[derive(Debug)]
pub struct CheckForwarding {
    pub file: PathBuf,

    pub against: Option<PathBuf>,
}

#[derive(Debug)]
pub struct Diff {
    pub file: PathBuf,
}

#[derive(Debug)]
pub struct Apply {
    pub file: PathBuf,

    pub wait: bool,
    pub wait_ms: Option<u64>,
    pub expect: Option<u64>,
}

#[derive(Debug)]
pub struct Get {
    pub generation: Option<u64>,
}

#[derive(Debug)]
pub struct History;

#[derive(Debug)]
pub struct DataCentre {
    pub subcommand: DataCentreCmd,
}

#[derive(Debug)]
pub enum DataCentreCmd {
    Out(Out),
    In(In),
    List(List),
}

#[derive(Debug)]
pub struct Out {
    pub name: String,

    pub wait: bool,
    pub wait_ms: Option<u64>,
}

#[derive(Debug)]
pub struct In {
    pub name: String,

    pub wait: bool,
    pub wait_ms: Option<u64>,
}

#[derive(Debug)]
pub struct List;

#[derive(Debug)]
pub struct Status;

#[derive(Debug)]
pub struct Request {
    pub id: String,
}

#[derive(Debug)]
pub struct Explain {
    pub account: String,
    pub service: String,
    pub tokens: u64,
}

impl Mustardshedctl {
    pub fn from_env_or_exit() -> Self {
        Self::from_env_or_exit_()
    }

    #[expect(dead_code, reason = "part of what xflags generates")]
    pub fn from_env() -> xflags::Result<Self> {
        Self::from_env_()
    }

    #[expect(dead_code, reason = "part of what xflags generates")]
    pub fn from_vec(args: Vec<std::ffi::OsString>) -> xflags::Result<Self> {
        Self::from_vec_(args)
    }
}
// generated end
