//! Encoding of updates, compressed if that is shorter.

use kingcuplift_core::ByteSize;
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
    /// The compressed data is corrupt or too large.
    #[error("the update can't be decompressed: {0}")]
    Compression(#[from] std::io::Error),
    /// The message is corrupt.
    #[error("the update can't be decoded: {0}")]
    Decode(#[from] prost::DecodeError),
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
            let body = zstd::bulk::decompress(&frame.body, MAX_UPDATE_SIZE.as_usize())?;
            Update::decode(body.as_slice())?
        }
    };
    Ok(update)
}
