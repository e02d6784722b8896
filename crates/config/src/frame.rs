//! Encoding of updates, compressed where that is smaller.

use kingcuplift_core::ByteSize;
use kingcuplift_schema::Message;
use kingcuplift_schema::control::{Encoding, Update, UpdateFrame};
use thiserror::Error;

/// Smallest update that is worth compressing.
const COMPRESS_FROM: ByteSize = ByteSize::bytes(256);
/// Largest update after decompression.
const MAX_UPDATE: ByteSize = ByteSize::mib(64);
/// Zstandard level for updates.
const LEVEL: i32 = 3;

/// Reason why an update can't be read.
#[derive(Debug, Error)]
pub enum FrameError {
    /// The compressed data is damaged or too large.
    #[error("the update can't be decompressed: {0}")]
    Compression(#[from] std::io::Error),
    /// The message is damaged.
    #[error("the update can't be decoded: {0}")]
    Decode(#[from] prost::DecodeError),
}

/// Encodes an update in the shorter of its encodings.
pub fn encode_update(update: &Update) -> UpdateFrame {
    let body = update.encode_to_vec();
    let compressed = match body.len() >= COMPRESS_FROM.as_usize() {
        true => zstd::bulk::compress(&body, LEVEL).ok(),
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
            let body = zstd::bulk::decompress(&frame.body, MAX_UPDATE.as_usize())?;
            Update::decode(body.as_slice())?
        }
    };
    Ok(update)
}
