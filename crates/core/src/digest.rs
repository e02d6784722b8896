//! Order-independent digest of a set of named resources.

use std::fmt;

use xxhash_rust::xxh3::xxh3_128;

/// Wrapping sum of the hashes of all resources in a set.
///
/// Adding and removing a resource are inverse operations, so the cost of updating a digest depends only on
/// the size of the change.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Digest(u128);

impl Digest {
    /// Adds the resource `key` with content `value`.
    pub fn add(&mut self, key: &str, value: &str) {
        self.0 = self.0.wrapping_add(hash_entry(key, value));
    }

    /// Removes the resource `key` with content `value`.
    pub fn remove(&mut self, key: &str, value: &str) {
        self.0 = self.0.wrapping_sub(hash_entry(key, value));
    }

    /// Returns the digest as 16 big-endian bytes.
    pub fn to_bytes(self) -> [u8; 16] {
        self.0.to_be_bytes()
    }

    /// Reads a digest from 16 big-endian bytes, or returns `None` for another length.
    pub fn from_bytes(bytes: &[u8]) -> Option<Self> {
        let array: [u8; 16] = bytes.try_into().ok()?;
        Some(Self(u128::from_be_bytes(array)))
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

/// Hashes one resource; the key's length comes first, so that key and content can't run together.
fn hash_entry(key: &str, value: &str) -> u128 {
    let mut bytes = Vec::with_capacity(8 + key.len() + value.len());
    bytes.extend_from_slice(&(key.len() as u64).to_be_bytes());
    bytes.extend_from_slice(key.as_bytes());
    bytes.extend_from_slice(value.as_bytes());
    xxh3_128(&bytes)
}
