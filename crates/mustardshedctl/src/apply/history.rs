//! Reads and writes the history of configurations.

use mustardshed::{
    core::{boundary::platform, ids, version::record},
    wire::configuration,
};

use super::{Current, ReadError};

/// Kind of the objects that store accepted configurations.
const KIND: platform::ObjectKind = platform::ObjectKind::History;
/// Purpose under which the platform calls are counted.
const PURPOSE: platform::Purpose = platform::Purpose::Configuration;

/// Returns the name of a generation's history object; names sort by generation.
pub fn object_name(generation: ids::Generation) -> String {
    format!("{generation:020}")
}

/// Returns the record of a generation, if the history has it.
///
/// # Errors
///
/// Returns an error if the platform cannot be read or the object is not a valid record.
pub async fn read(
    platform: &dyn platform::Platform,
    generation: ids::Generation,
) -> Result<Option<record::Record>, ReadError> {
    let object = platform
        .get(PURPOSE, KIND, &object_name(generation))
        .await?;
    let record = object.map(|object| configuration::decode(&object.value));
    record
        .transpose()
        .map_err(|err| ReadError::Invalid(err.to_string()))
}

/// Stores the new record, and the one before it in case its own writer failed to.
pub(super) async fn store(
    platform: &dyn platform::Platform,
    base: &Current,
    record: &record::Record,
    value: &[u8],
) -> Result<(), platform::PlatformError> {
    let base = base.record.as_ref();
    if let Some((base, Ok(value))) = base.map(|base| (base, configuration::encode(base))) {
        create(platform, base.generation, value).await?;
    }
    create(platform, record.generation, value.to_vec()).await
}

/// Creates the history object of a generation, unless it exists already.
async fn create(
    platform: &dyn platform::Platform,
    generation: ids::Generation,
    value: Vec<u8>,
) -> Result<(), platform::PlatformError> {
    let name = object_name(generation);
    match platform.put(PURPOSE, KIND, &name, 0, value).await {
        Ok(_) | Err(platform::PlatformError::Conflict(_)) => Ok(()),
        Err(err) => Err(err),
    }
}
