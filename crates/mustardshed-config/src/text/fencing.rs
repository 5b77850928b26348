//! Fencing of orders to backend servers.

use std::fmt;

use crate::{
    problem,
    reader::{field, read},
};

/// Whether backend servers refuse an order that carries an old fencing number.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Fencing {
    /// They refuse such an order.
    Checked,
    /// They carry out such an order.
    #[default]
    Ignored,
}

impl Fencing {
    /// Returns the value of `fencing` in the configuration.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Checked => "checked",
            Self::Ignored => "ignored",
        }
    }

    /// Reads the value of `fencing`.
    pub(super) fn read(field: &field::Field<'_, '_>) -> Option<Self> {
        let value = match field.string()? {
            "checked" => Some(Self::Checked),
            "ignored" => Some(Self::Ignored),
            _ => None,
        };
        let choices = "\"checked\", \"ignored\"";
        read::checked(field, value, problem::Reason::NotAChoice { choices })
    }
}

impl fmt::Display for Fencing {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
