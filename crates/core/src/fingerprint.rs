//! Fingerprint of a call: the same for each time that a caller sends the same request.

use std::fmt;

use xxhash_rust::xxh3::Xxh3;

/// Hash of what a target gets of a call: its method, path, caller and body.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallFingerprint(u64);

impl CallFingerprint {
    /// Hashes the parts of a call; the length of each comes first, so that they can't run together.
    pub fn of(parts: &[&[u8]]) -> Self {
        let mut hasher = Xxh3::new();
        for part in parts {
            hasher.update(&(part.len() as u64).to_be_bytes());
            hasher.update(part);
        }
        Self(hasher.digest())
    }

    /// Creates a fingerprint from its number.
    pub const fn new(number: u64) -> Self {
        Self(number)
    }

    /// Returns the number.
    pub const fn get(self) -> u64 {
        self.0
    }
}

impl fmt::Display for CallFingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}
