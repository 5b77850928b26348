//! The macro that defines the closed list of events and its catalogue.

/// Description of an event in the catalogue.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EventInfo {
    /// Number; its meaning never changes.
    pub number: u16,
    /// Name.
    pub name: &'static str,
    /// Level.
    pub level: &'static str,
    /// Names of the fields.
    pub fields: &'static [&'static str],
    /// What the event means.
    pub meaning: &'static str,
}

/// Defines the closed list of events with its catalogue.
macro_rules! events {
    ($(
        #[doc = $meaning:literal]
        $number:literal $level:ident $name:literal $variant:ident {
            $($field:ident: $kind:ty),* $(,)?
        }
    )*) => {
        /// An event of the log.
        pub enum Event<'a> {
            $(
                #[doc = $meaning]
                $variant {
                    $(
                        #[doc = concat!("Value of the field `", stringify!($field), "`.")]
                        $field: $kind,
                    )*
                },
            )*
        }

        impl Event<'_> {
            /// Every event, in the order of the numbers.
            pub const CATALOGUE: &'static [$crate::log::catalogue::EventInfo] = &[
                $($crate::log::catalogue::EventInfo {
                    number: $number,
                    name: $name,
                    level: stringify!($level),
                    fields: &[$(stringify!($field)),*],
                    meaning: $meaning,
                },)*
            ];

            /// Returns the number.
            pub const fn number(&self) -> u16 {
                match self {
                    $(Self::$variant { .. } => $number,)*
                }
            }

            /// Returns the name.
            pub const fn name(&self) -> &'static str {
                match self {
                    $(Self::$variant { .. } => $name,)*
                }
            }

            /// Returns the level.
            pub const fn level(&self) -> spdlog::Level {
                match self {
                    $(Self::$variant { .. } => spdlog::Level::$level,)*
                }
            }

            /// Calls `visit` with the name and the value of each field.
            ///
            /// # Errors
            ///
            /// Returns the first error of `visit`.
            pub fn visit(
                &self,
                visit: &mut dyn FnMut(
                    &str,
                    &dyn $crate::log::value::Value,
                ) -> std::fmt::Result,
            ) -> std::fmt::Result {
                match self {
                    $(Self::$variant { $($field),* } => {
                        $(visit(stringify!($field), $field)?;)*
                        Ok(())
                    })*
                }
            }
        }
    };
}

pub(crate) use events;
