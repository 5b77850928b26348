//! What serves the requests of a service.

use super::engine_kind::MAX_RUNNING;
use crate::{
    problem,
    reader::{field, read, section},
};

/// What serves the requests of a service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Backing {
    /// A model.
    Model {
        /// Name of the model.
        model: String,
    },
    /// Plain services, on VMs whose kind is the service's name.
    Plain {
        /// `METHOD /path` prefixes of calls that must not be retried.
        non_repeatable: Vec<String>,
        /// Most calls that one server runs at once.
        max_running: u32,
        /// Most calls that a cold server runs at once.
        cold_limit: u32,
    },
}

impl Backing {
    /// Reads `model` or `plain` of a table `[[service]]`.
    pub(super) fn read(section: &section::Section<'_, '_>) -> Self {
        let model = section.optional("model", String::new(), read::model_name);
        let plain = section.optional("plain", Self::default(), Self::read_plain);
        match (section.has("model"), section.has("plain")) {
            (true, true) => section.add("plain", problem::Reason::OneBacking),
            (false, false) => section.add("model", problem::Reason::OneBacking),
            _ => {}
        }
        if section.has("plain") {
            plain.unwrap_or_default()
        } else {
            let model = model.unwrap_or_default();
            Self::Model { model }
        }
    }

    fn read_plain(field: &field::Field<'_, '_>) -> Option<Self> {
        let section = field.table()?;
        let non_repeatable = section.optional("non_repeatable", Vec::new(), read::list(read::call));
        let max_running = section.required("max_running", read::u32_within(1, MAX_RUNNING));
        let cold_limit = section.required("cold_limit", read::u32_within(1, MAX_RUNNING));
        section.limit("cold_limit", cold_limit, "max_running", max_running);
        section.report_unknown();
        Some(Self::Plain {
            non_repeatable: non_repeatable.unwrap_or_default(),
            max_running: max_running.unwrap_or_default(),
            cold_limit: cold_limit.unwrap_or_default(),
        })
    }
}

impl Default for Backing {
    /// Returns plain services that accept no calls.
    fn default() -> Self {
        Self::Plain {
            non_repeatable: Vec::new(),
            max_running: 0,
            cold_limit: 0,
        }
    }
}
