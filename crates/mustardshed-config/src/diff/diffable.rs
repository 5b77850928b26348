//! Tables of the configuration as lists of keys and values.

use super::{FieldValue, Subject};
use crate::text;

/// A table that can be compared key by key.
pub(super) trait Diffable {
    /// Kind of table.
    const SUBJECT: Subject;

    /// Returns the keys and values of the table, except its name.
    fn fields(&self) -> Vec<FieldValue>;
}

impl Diffable for text::DataCentre {
    const SUBJECT: Subject = Subject::DataCentre;

    fn fields(&self) -> Vec<FieldValue> {
        vec![quoted("region", &self.region)]
    }
}

impl Diffable for text::EngineKind {
    const SUBJECT: Subject = Subject::EngineKind;

    fn fields(&self) -> Vec<FieldValue> {
        let prefill = self.prefill_tokens_per_second;
        vec![
            plain("memory_tokens", self.memory_tokens),
            plain("max_running", self.max_running),
            plain("cold_limit", self.cold_limit),
            plain("warm_after", self.warm_after),
            plain("prefill_tokens_per_second", prefill),
            quoted("fencing", self.fencing.as_str()),
        ]
    }
}

impl Diffable for text::Model {
    const SUBJECT: Subject = Subject::Model;

    fn fields(&self) -> Vec<FieldValue> {
        vec![
            quoted("engine_kind", &self.engine_kind),
            quoted("version", &self.version),
            plain("context_tokens", self.context_tokens),
            plain("bytes_per_token", self.bytes_per_token),
            list("adapters", &self.adapters),
        ]
    }
}

impl Diffable for text::Service {
    const SUBJECT: Subject = Subject::Service;

    fn fields(&self) -> Vec<FieldValue> {
        let mut fields = backing(&self.backing);
        fields.push(list("depends_on", &self.depends_on));
        fields.push(plain(
            "default_deadline_ms",
            self.default_deadline.as_millis(),
        ));
        fields.push(plain("max_deadline_ms", self.max_deadline.as_millis()));
        fields.push(plain("retry_percent", self.retry_percent));
        fields
    }
}

impl Diffable for text::ClientAccount {
    const SUBJECT: Subject = Subject::ClientAccount;

    fn fields(&self) -> Vec<FieldValue> {
        let digests = self.key_digests.iter();
        let digests: Vec<String> = digests.map(|d| hex::encode(&d[..4]) + "...").collect();
        vec![
            list("key_sha256", &digests),
            plain("weight", self.weight),
            plain("max_running", self.max_running),
            list("services", &self.services),
        ]
    }
}

fn backing(backing: &text::Backing) -> Vec<FieldValue> {
    match backing {
        text::Backing::Model { model } => vec![quoted("model", model)],
        text::Backing::Plain {
            non_repeatable,
            max_running,
            cold_limit,
        } => vec![
            list("plain.non_repeatable", non_repeatable),
            plain("plain.max_running", max_running),
            plain("plain.cold_limit", cold_limit),
        ],
    }
}

fn plain(key: &'static str, value: impl ToString) -> FieldValue {
    let value = value.to_string();
    FieldValue { key, value }
}

fn quoted(key: &'static str, value: &str) -> FieldValue {
    plain(key, format!("\"{value}\""))
}

fn list(key: &'static str, values: &[String]) -> FieldValue {
    let values: Vec<String> = values.iter().map(|value| format!("\"{value}\"")).collect();
    plain(key, format!("[{}]", values.join(", ")))
}
