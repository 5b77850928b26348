//! One table of an array of tables.

/// What was read from one table of an array; invalid values are replaced by their default.
#[derive(Debug)]
pub(crate) struct Item<T> {
    /// Path of the table, such as `service[2]`.
    pub(crate) path: String,
    /// Value of the key `name`, if it is a string; not validated.
    pub(crate) name: Option<String>,
    /// Content of the table.
    pub(crate) value: T,
}

impl<T> Item<T> {
    /// Returns the path of a key of this table.
    pub(crate) fn path_of(&self, key: &str) -> String {
        format!("{}.{key}", self.path)
    }
}
