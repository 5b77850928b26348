//! Data centres.

use crate::reader::{read, section};

/// A data centre.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DataCentre {
    /// Name.
    pub name: String,
    /// Region that it is in.
    pub region: String,
}

impl DataCentre {
    /// Reads one table `[[data_centre]]`; invalid values are reported and replaced by defaults.
    pub(super) fn read(section: &section::Section<'_, '_>) -> Self {
        let name = section.required("name", read::name);
        let region = section.required("region", read::name);
        Self {
            name: name.unwrap_or_default(),
            region: region.unwrap_or_default(),
        }
    }
}
