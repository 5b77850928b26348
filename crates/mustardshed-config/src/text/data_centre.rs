//! Data centres.

use crate::reader::{read, section};

/// A data centre.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DataCentre {
    /// Name.
    pub name: String,
    /// Region in which it stands.
    pub region: String,
}

impl DataCentre {
    /// Reads one table `[[data_centre]]`; a value that is reported as a problem stands as its default.
    pub(super) fn read(section: &section::Section<'_, '_>) -> Self {
        let name = section.required("name", read::name);
        let region = section.required("region", read::name);
        Self {
            name: name.unwrap_or_default(),
            region: region.unwrap_or_default(),
        }
    }
}
