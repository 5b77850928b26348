//! One table of an array of tables.

/// What was read from one table of an array; what is not valid stands as its default.
#[derive(Debug)]
pub(crate) struct Item<T> {
    /// Path of the table, such as `service[2]`.
    pub(crate) path: String,
    /// Its name, if it has one.
    pub(crate) name: Option<String>,
    /// Its content.
    pub(crate) value: T,
}

impl<T> Item<T> {
    /// Returns the path of a key of this table.
    pub(crate) fn path_of(&self, key: &str) -> String {
        format!("{}.{key}", self.path)
    }
}
