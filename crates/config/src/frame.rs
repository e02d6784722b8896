//! Encoding of updates, compressed if that is shorter.

use std::fmt;

use kingcuplift_core::{ByteSize, Digest, Version};
use kingcuplift_schema::Message;
use kingcuplift_schema::control::{Encoding, Update, UpdateFrame};
use thiserror::Error;

/// Size below which an update is not compressed.
const MIN_COMPRESSED_SIZE: ByteSize = ByteSize::bytes(256);
/// Largest size of a decompressed update.
const MAX_UPDATE_SIZE: ByteSize = ByteSize::mib(64);
/// Zstandard compression level.
const COMPRESSION_LEVEL: i32 = 3;

/// Reason why an update can't be decoded.
#[derive(Debug, Error)]
pub enum FrameError {
    /// The compressed data is corrupt.
    #[error("the update can't be decompressed: {0}")]
    Compression(#[from] std::io::Error),
    /// The compressed data states no size, or one above the limit.
    #[error("the update states no size up to {MAX_UPDATE_SIZE}")]
    Size,
    /// The message is corrupt.
    #[error("the update can't be decoded: {0}")]
    Decode(#[from] prost::DecodeError),
}

/// Numbers of an update, for the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UpdateSummary {
    base: Version,
    version: Version,
    changes: usize,
    digest: Option<Digest>,
    is_full: bool,
}

impl UpdateSummary {
    /// Summarizes an update.
    pub fn of(update: &Update) -> Self {
        Self {
            base: Version::new(update.base),
            version: Version::new(update.version),
            changes: update.changes.len(),
            digest: Digest::from_bytes(&update.digest),
            is_full: update.full,
        }
    }

    /// Returns the digest that the receiver's resources have after the update.
    pub fn digest(&self) -> Option<Digest> {
        self.digest
    }
}

impl fmt::Display for UpdateSummary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.is_full {
            true => write!(f, "full update to version {}", self.version)?,
            false => write!(f, "update from version {} to {}", self.base, self.version)?,
        }
        write!(f, ", {} changes", self.changes)?;
        match self.digest {
            Some(digest) => write!(f, ", digest {digest}"),
            None => write!(f, ", no digest"),
        }
    }
}

/// Encodes an update, compressed if that is shorter.
pub fn encode_update(update: &Update) -> UpdateFrame {
    let body = update.encode_to_vec();
    let compressed = match body.len() >= MIN_COMPRESSED_SIZE.as_usize() {
        true => zstd::bulk::compress(&body, COMPRESSION_LEVEL).ok(),
        false => None,
    };
    match compressed {
        Some(short) if short.len() < body.len() => {
            UpdateFrame { encoding: Encoding::Zstd.into(), body: short.into() }
        }
        _ => UpdateFrame { encoding: Encoding::Plain.into(), body: body.into() },
    }
}

/// Decodes an update.
pub fn decode_update(frame: &UpdateFrame) -> Result<Update, FrameError> {
    let update = match frame.encoding() {
        Encoding::Plain => Update::decode(frame.body.as_ref())?,
        Encoding::Zstd => {
            let body = zstd::bulk::decompress(&frame.body, decompressed_size(&frame.body)?)?;
            Update::decode(body.as_slice())?
        }
    };
    Ok(update)
}

/// Returns the size that compressed data states; a buffer of that size is allocated for it.
fn decompressed_size(data: &[u8]) -> Result<usize, FrameError> {
    match zstd::zstd_safe::get_frame_content_size(data) {
        Ok(Some(size)) if size <= MAX_UPDATE_SIZE.get() => {
            usize::try_from(size).map_err(|_too_large| FrameError::Size)
        }
        _ => Err(FrameError::Size),
    }
}
