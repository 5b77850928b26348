//! All reasons for which a document is rejected.

use displaydoc::Display;

/// Why a value, or the lack of one, is invalid.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum Reason {
    /// not TOML: {0}
    Syntax(String),
    /// longer than {limit} bytes
    TooLong {
        /// Length allowed, in bytes.
        limit: usize,
    },
    /// this key is missing
    Missing,
    /// no such key here; known keys are {known}
    UnknownKey {
        /// Keys of this table.
        known: String,
    },
    /// must be {expected}
    WrongType {
        /// Expected type, with its article.
        expected: &'static str,
    },
    /// must be from {least} to {greatest}
    OutOfRange {
        /// Least value allowed.
        least: u64,
        /// Greatest value allowed.
        greatest: u64,
    },
    /// must be a number from 0 to {greatest}
    NotWithin {
        /// Greatest value allowed.
        greatest: String,
    },
    /// must be a number over 0, at most {greatest}
    NotAboveZero {
        /// Greatest value allowed.
        greatest: String,
    },
    /// must not be greater than {key}, which is {limit}
    Above {
        /// Key that limits this one.
        key: &'static str,
        /// Value of that key.
        limit: u64,
    },
    /// must not be less than {key}, which is {limit}
    Below {
        /// Key that limits this one.
        key: &'static str,
        /// Value of that key.
        limit: u64,
    },
    /// must be one of {choices}
    NotAChoice {
        /// Values allowed, separated by commas.
        choices: &'static str,
    },
    /// must be 1 to {limit} of the characters {characters}
    InvalidName {
        /// Length allowed, in bytes.
        limit: usize,
        /// Characters allowed.
        characters: &'static str,
    },
    /// is already used on line {line}
    Duplicate {
        /// Line of the first use.
        line: usize,
    },
    /// there is no {what} of this name in this configuration
    UnknownReference {
        /// Kind of table that the name refers to.
        what: &'static str,
    },
    /// services depend on each other in a cycle: {cycle}
    Cycle {
        /// Names of the services, from the first back to the first.
        cycle: String,
    },
    /// exactly one of `model` and `plain` must be given
    OneBacking,
    /// is also the name of an engine kind, and VMs are told apart by the name of their kind only
    KindTaken,
    /// needs {needed} engines of kind {kind} at once, but at most {greatest} can share a prompt
    NotServable {
        /// Engines that a prompt of this length needs.
        needed: u64,
        /// Engine kind.
        kind: String,
        /// Most engines that can share one prompt.
        greatest: u64,
    },
    /// must be the SHA-256 digest of a key as 64 hexadecimal digits
    InvalidDigest,
    /// must be a method and a path, such as `POST /charge`
    InvalidCall,
    /// must be an IP address and a port, such as `10.0.0.7:8080`
    InvalidAddress,
    /// must be `http://IP:PORT`
    InvalidUrl,
    /// must name an address and a port that others can connect to
    Unreachable,
}

impl std::error::Error for Reason {}
