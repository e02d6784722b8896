//! Newtypes for the names and numbers that identify parts of the system.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use thiserror::Error;

/// Longest accepted name, in bytes.
const MAX_NAME: usize = 128;

/// Error returned when a text is not a valid identifier.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum ParseIdError {
    /// The text is empty.
    #[error("the name is empty; give at least one character")]
    Empty,
    /// The text is longer than [`MAX_NAME`] bytes.
    #[error("the name is longer than {MAX_NAME} bytes; shorten it")]
    TooLong,
    /// The text holds a character outside the permitted set.
    #[error("the name holds {0:?}; use letters, digits, '.', '_' and '-'")]
    BadCharacter(char),
    /// The text is not a decimal number.
    #[error("{0:?} is not a whole number; give decimal digits")]
    NotNumber(String),
}

/// Checks that `text` is a valid name.
fn check_name(text: &str) -> Result<(), ParseIdError> {
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '.' | '_' | '-');
    match text {
        "" => Err(ParseIdError::Empty),
        _ if text.len() > MAX_NAME => Err(ParseIdError::TooLong),
        _ => match text.chars().find(|c| !allowed(*c)) {
            Some(c) => Err(ParseIdError::BadCharacter(c)),
            None => Ok(()),
        },
    }
}

macro_rules! text_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(SmolStr);

        impl $name {
            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl FromStr for $name {
            type Err = ParseIdError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                check_name(text)?;
                Ok(Self(SmolStr::new(text)))
            }
        }
    };
}

macro_rules! number_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(u64);

        impl $name {
            /// Wraps a number.
            pub const fn new(number: u64) -> Self {
                Self(number)
            }

            /// Returns the number.
            pub const fn get(self) -> u64 {
                self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }

        impl FromStr for $name {
            type Err = ParseIdError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                match text.parse() {
                    Ok(number) => Ok(Self(number)),
                    Err(_) => Err(ParseIdError::NotNumber(text.to_owned())),
                }
            }
        }
    };
}

text_id!(
    /// Name of one node process.
    NodeName
);
text_id!(
    /// Name of an availability zone.
    ZoneName
);
text_id!(
    /// Name of a service.
    ServiceName
);
text_id!(
    /// Name of a route.
    RouteName
);
text_id!(
    /// Label of a target's software version, such as `v2`.
    TargetVersion
);
text_id!(
    /// Identifier that makes a submission idempotent.
    OperationId
);
number_id!(
    /// Number of an accepted configuration version; 0 is the empty configuration.
    Version
);
number_id!(
    /// Number of a source member.
    MemberId
);
number_id!(
    /// Number that increases with each start of a process, in microseconds since the Unix epoch.
    Incarnation
);

impl Version {
    /// Returns the number after this one.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}
