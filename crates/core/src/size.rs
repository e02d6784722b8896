//! Newtypes for sizes, shares, rates and ranks.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Bytes in one KiB.
const KIB: u64 = 1024;
/// Bytes in one MiB.
const MIB: u64 = 1024 * KIB;
/// Largest share, in per cent.
const MAX_SHARE: u8 = 100;

/// Error returned when a text is not a valid size, share, rate or rank.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum ParseSizeError {
    /// The text is not a number with a known unit.
    #[error("{0:?} is not a size; write a whole number, optionally followed by KiB or MiB")]
    BadSize(String),
    /// The share is not between 0 and 100.
    #[error("{0:?} is not a share; write a whole number from 0 to 100")]
    BadShare(String),
    /// The rank is not between 0 and 255.
    #[error("{0:?} is not a rank; write a whole number from 0 to 255")]
    BadRank(String),
    /// The rate is not a number of 0 or more.
    #[error("{0:?} is not a rate; write a number of 0 or more, optionally followed by /s")]
    BadRate(String),
}

/// Number of bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct ByteSize(u64);

impl ByteSize {
    /// Wraps a number of bytes.
    pub const fn bytes(bytes: u64) -> Self {
        Self(bytes)
    }

    /// Wraps a number of KiB.
    pub const fn kib(kib: u64) -> Self {
        Self(kib * KIB)
    }

    /// Wraps a number of MiB.
    pub const fn mib(mib: u64) -> Self {
        Self(mib * MIB)
    }

    /// Returns the number of bytes.
    pub const fn get(self) -> u64 {
        self.0
    }

    /// Returns the number of bytes as an index type.
    pub const fn as_usize(self) -> usize {
        self.0 as usize
    }
}

impl fmt::Display for ByteSize {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            n if n >= MIB && n % MIB == 0 => write!(f, "{}MiB", n / MIB),
            n if n >= KIB && n % KIB == 0 => write!(f, "{}KiB", n / KIB),
            n => n.fmt(f),
        }
    }
}

impl FromStr for ByteSize {
    type Err = ParseSizeError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (digits, unit) = match text {
            t if t.ends_with("KiB") => (&t[..t.len() - 3], KIB),
            t if t.ends_with("MiB") => (&t[..t.len() - 3], MIB),
            t => (t, 1),
        };
        let number: Option<u64> = digits.parse().ok();
        match number.and_then(|n| n.checked_mul(unit)) {
            Some(bytes) => Ok(Self(bytes)),
            None => Err(ParseSizeError::BadSize(text.to_owned())),
        }
    }
}

/// Percentage from 0 to 100.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Share(u8);

impl Share {
    /// 0 per cent.
    pub const NONE: Self = Self(0);
    /// 100 per cent.
    pub const FULL: Self = Self(MAX_SHARE);

    /// Wraps a percentage, or returns `None` if it is above 100.
    pub const fn new(percent: u8) -> Option<Self> {
        match percent {
            0..=MAX_SHARE => Some(Self(percent)),
            _ => None,
        }
    }

    /// Returns the percentage.
    pub const fn percent(self) -> u8 {
        self.0
    }
}

impl fmt::Display for Share {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}%", self.0)
    }
}

impl FromStr for Share {
    type Err = ParseSizeError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let number: Option<u8> = text.trim_end_matches('%').parse().ok();
        match number.and_then(Self::new) {
            Some(share) => Ok(share),
            None => Err(ParseSizeError::BadShare(text.to_owned())),
        }
    }
}

/// Rate in events per second, 0 or more.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PerSecond(f64);

impl PerSecond {
    /// Wraps a rate; a negative one becomes 0.
    pub const fn new(rate: f64) -> Self {
        Self(rate.max(0.0))
    }

    /// Returns the number of events per second.
    pub const fn get(self) -> f64 {
        self.0
    }
}

impl Eq for PerSecond {}

impl fmt::Display for PerSecond {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/s", self.0)
    }
}

impl FromStr for PerSecond {
    type Err = ParseSizeError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text.trim_end_matches("/s").parse::<f64>() {
            Ok(rate) if rate.is_finite() && rate >= 0.0 => Ok(Self(rate)),
            _ => Err(ParseSizeError::BadRate(text.to_owned())),
        }
    }
}

/// Priority of a waiting call; 0 is served first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Rank(u8);

impl Rank {
    /// The rank that is served first.
    pub const FIRST: Self = Self(0);
    /// The rank that is served last.
    pub const LAST: Self = Self(u8::MAX);

    /// Wraps a rank.
    pub const fn new(rank: u8) -> Self {
        Self(rank)
    }
}

impl fmt::Display for Rank {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for Rank {
    type Err = ParseSizeError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text.parse() {
            Ok(rank) => Ok(Self(rank)),
            Err(_) => Err(ParseSizeError::BadRank(text.to_owned())),
        }
    }
}
