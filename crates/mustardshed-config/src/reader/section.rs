//! One table of a document.

use std::cell;

use toml::de;

use crate::{
    problem,
    reader::{field, item, report},
};

/// A table whose keys are read one by one; [`Section::report_unknown`] reports the others.
#[derive(Debug)]
pub(crate) struct Section<'r, 'a> {
    report: &'r report::Report<'a>,
    path: String,
    table: &'r de::DeTable<'a>,
    known: cell::RefCell<Vec<&'static str>>,
}

impl<'r, 'a> Section<'r, 'a> {
    /// Returns the root table.
    pub(crate) fn root(report: &'r report::Report<'a>, table: &'r de::DeTable<'a>) -> Self {
        Self::new(report, String::new(), table)
    }

    /// Returns the table at `path`.
    pub(crate) fn new(
        report: &'r report::Report<'a>,
        path: String,
        table: &'r de::DeTable<'a>,
    ) -> Self {
        Self {
            report,
            path,
            table,
            known: cell::RefCell::default(),
        }
    }

    /// Reads a required key; reports it if it is missing.
    pub(crate) fn required<T>(
        &self,
        key: &'static str,
        read: impl FnOnce(&field::Field<'r, 'a>) -> Option<T>,
    ) -> Option<T> {
        let Some(field) = self.field(key) else {
            let path = self.path_of(key);
            self.report.add(&path, problem::Reason::Missing);
            return None;
        };
        read(&field)
    }

    /// Reads an optional key; returns `default` if it is missing.
    pub(crate) fn optional<T>(
        &self,
        key: &'static str,
        default: T,
        read: impl FnOnce(&field::Field<'r, 'a>) -> Option<T>,
    ) -> Option<T> {
        match self.field(key) {
            Some(field) => read(&field),
            None => Some(default),
        }
    }

    /// Reads an optional array of tables, and reports the keys that `read` did not read.
    pub(crate) fn items<T>(
        &self,
        key: &'static str,
        read: fn(&Section<'r, 'a>) -> T,
    ) -> Vec<item::Item<T>> {
        self.field(key)
            .map(|field| field.tables())
            .unwrap_or_default()
            .into_iter()
            .map(|section| section.item(read))
            .collect()
    }

    /// Whether the table contains the key.
    pub(crate) fn has(&self, key: &'static str) -> bool {
        self.table.contains_key(key)
    }

    /// Reports a problem with the key, on the line of the table if the key is missing.
    pub(crate) fn add(&self, key: &'static str, reason: problem::Reason) {
        self.report.add(&self.path_of(key), reason);
    }

    /// Reports `key` if its `value` is greater than `limit`, the value of `limit_key`.
    pub(crate) fn limit(
        &self,
        key: &'static str,
        value: Option<u32>,
        limit_key: &'static str,
        limit: Option<u32>,
    ) {
        let (Some(value), Some(limit)) = (value, limit) else {
            return;
        };
        if value > limit {
            let reason = problem::Reason::Above {
                key: limit_key,
                limit: u64::from(limit),
            };
            self.add(key, reason);
        }
    }

    /// Reports every key that was not read.
    pub(crate) fn report_unknown(&self) {
        let known = self.known.borrow();
        for (key, value) in self.table {
            let name: &str = key.get_ref();
            if known.contains(&name) {
                continue;
            }
            let path = self.path_of(name);
            self.report.locate(&path, value.span());
            let known = known.join(", ");
            let reason = problem::Reason::UnknownKey { known };
            self.report.add_at(&path, key.span().start, reason);
        }
    }

    fn item<T>(self, read: fn(&Section<'r, 'a>) -> T) -> item::Item<T> {
        let name = self
            .table
            .get("name")
            .and_then(|name| name.get_ref().as_str());
        let item = item::Item {
            path: self.path.clone(),
            name: name.map(str::to_owned),
            value: read(&self),
        };
        self.report_unknown();
        item
    }

    fn field(&self, key: &'static str) -> Option<field::Field<'r, 'a>> {
        self.known.borrow_mut().push(key);
        let value = self.table.get(key)?;
        Some(field::Field::new(self.report, self.path_of(key), value))
    }

    fn path_of(&self, key: &str) -> String {
        if self.path.is_empty() {
            key.to_owned()
        } else {
            format!("{}.{key}", self.path)
        }
    }
}
