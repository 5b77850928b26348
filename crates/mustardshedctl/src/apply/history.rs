//! Earlier configurations.

use mustardshed::{
    core::{boundary::platform, ids, version::record},
    wire::configuration,
};

use super::{Current, ReadError};

/// Kind of the objects that keep earlier configurations.
const KIND: platform::ObjectKind = platform::ObjectKind::History;
/// Purpose under which calls on them are counted.
const PURPOSE: platform::Purpose = platform::Purpose::Configuration;

/// Returns the name of the object that keeps a generation; names sort by generation.
pub fn object_name(generation: ids::Generation) -> String {
    format!("{generation:020}")
}

/// Reads the record of a generation, if it was kept.
///
/// # Errors
///
/// Returns an error if the platform does not answer or holds something else.
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

/// Keeps the new record, and the one before it in case its own writer could not.
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

/// Creates the object of a generation, unless it is there already.
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
