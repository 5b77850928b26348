//! One value of a document.

use toml::{Spanned, de};

use crate::{
    problem,
    reader::{report, section},
};

/// A value and its path in the document.
#[derive(Debug)]
pub(crate) struct Field<'r, 'a> {
    report: &'r report::Report<'a>,
    path: String,
    value: &'r de::DeValue<'a>,
}

impl<'r, 'a> Field<'r, 'a> {
    /// Returns the field at `path` and records its span in `report`.
    pub(crate) fn new(
        report: &'r report::Report<'a>,
        path: String,
        value: &'r Spanned<de::DeValue<'a>>,
    ) -> Self {
        report.locate(&path, value.span());
        Self {
            report,
            path,
            value: value.get_ref(),
        }
    }

    /// Reports a problem with this value.
    pub(crate) fn add(&self, reason: problem::Reason) {
        self.report.add(&self.path, reason);
    }

    /// Returns the value as a string.
    pub(crate) fn string(&self) -> Option<&'r str> {
        self.typed(self.value.as_str(), "a string")
    }

    /// Returns the value as an integer; reports one outside `least..=greatest`, also if negative.
    pub(crate) fn integer(&self, least: u64, greatest: u64) -> Option<u64> {
        let integer = self.typed(self.value.as_integer(), "an integer")?;
        let value = u64::from_str_radix(integer.as_str(), integer.radix()).ok();
        let value = value.filter(|value| (least..=greatest).contains(value));
        if value.is_none() {
            self.add(problem::Reason::OutOfRange { least, greatest });
        }
        value
    }

    /// Returns the value as an integer or float; reports one outside `0.0..=greatest`.
    pub(crate) fn number(&self, greatest: f64) -> Option<f64> {
        let integer = self.value.as_integer().map(de::DeInteger::as_str);
        let text = integer.or_else(|| self.value.as_float().map(de::DeFloat::as_str));
        let text = self.typed(text, "a number")?;
        let value = text
            .parse()
            .ok()
            .filter(|value| (0.0..=greatest).contains(value));
        if value.is_none() {
            self.add(problem::Reason::NotWithin {
                greatest: greatest.to_string(),
            });
        }
        value
    }

    /// Returns the value as a boolean.
    pub(crate) fn boolean(&self) -> Option<bool> {
        self.typed(self.value.as_bool(), "true or false")
    }

    /// Returns the elements of an array.
    pub(crate) fn elements(&self) -> Option<Vec<Field<'r, 'a>>> {
        let array = self.typed(self.value.as_array(), "an array")?;
        let elements = array.iter().enumerate();
        Some(
            elements
                .map(|(i, value)| Field::new(self.report, format!("{}[{i}]", self.path), value))
                .collect(),
        )
    }

    /// Returns the value as a table.
    pub(crate) fn table(&self) -> Option<section::Section<'r, 'a>> {
        let table = self.typed(self.value.as_table(), "a table")?;
        Some(section::Section::new(self.report, self.path.clone(), table))
    }

    /// Returns the tables of an array of tables; other elements are reported and left out.
    pub(crate) fn tables(&self) -> Vec<section::Section<'r, 'a>> {
        if self.value.is_table() {
            let expected = "an array of tables, written in double brackets";
            self.add(problem::Reason::WrongType { expected });
            return Vec::new();
        }
        let elements = self.elements().unwrap_or_default();
        elements.iter().filter_map(Field::table).collect()
    }

    fn typed<T>(&self, value: Option<T>, expected: &'static str) -> Option<T> {
        if value.is_none() {
            self.add(problem::Reason::WrongType { expected });
        }
        value
    }
}
