//! What stands behind a service.

use super::engine_kind::MAX_RUNNING;
use crate::{
    problem,
    reader::{field, read, section},
};

/// What stands behind a service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Backing {
    /// A model.
    Model {
        /// Name of the model.
        model: String,
    },
    /// Plain services whose VMs carry the service's name as their kind.
    Plain {
        /// `METHOD /path` prefixes of calls that may not be repeated.
        non_repeatable: Vec<String>,
        /// Calls that one server works on at once, at most.
        max_running: u32,
        /// Calls that a cold server bears at once.
        cold_limit: u32,
    },
}

impl Backing {
    /// Reads `model` or `plain` of a table `[[service]]`.
    pub(super) fn read(section: &section::Section<'_, '_>) -> Option<Self> {
        let model = section.optional("model", None, |field| read::model_name(field).map(Some));
        let plain = section.optional("plain", None, |field| Self::read_plain(field).map(Some));
        match (section.has("model"), section.has("plain")) {
            (true, false) => model.flatten().map(|model| Self::Model { model }),
            (false, true) => plain.flatten(),
            (true, true) => {
                section.add("plain", problem::Reason::OneBacking);
                None
            }
            (false, false) => {
                section.add("model", problem::Reason::OneBacking);
                None
            }
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
            non_repeatable: non_repeatable?,
            max_running: max_running?,
            cold_limit: cold_limit?,
        })
    }
}
