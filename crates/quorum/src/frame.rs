//! Checksummed frames, the unit of writing.
//!
//! Layout, all numbers little-endian: magic (4 bytes), length of the body (4), checksum of the frame
//! before (4), checksum (4) of the three fields and the body, body.

/// First bytes of a frame.
const MAGIC: [u8; 4] = *b"KLF1";
/// Length of the fields before the body, in bytes.
pub(crate) const HEADER: usize = 16;
/// Longest body, in bytes.
pub(crate) const MAX_BODY: usize = 1 << 30;

/// A frame that was read back.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct Frame<'a> {
    /// Checksum of the frame before.
    pub(crate) previous: u32,
    /// Checksum of this frame.
    pub(crate) checksum: u32,
    /// Body.
    pub(crate) body: &'a [u8],
}

impl Frame<'_> {
    /// Returns the length of the whole frame, in bytes.
    pub(crate) fn len(&self) -> usize {
        HEADER + self.body.len()
    }
}

/// Encodes a frame and returns it with its checksum.
pub(crate) fn encode(previous: u32, body: &[u8]) -> (Vec<u8>, u32) {
    let mut bytes = Vec::with_capacity(HEADER + body.len());
    bytes.extend_from_slice(&MAGIC);
    bytes.extend_from_slice(&(body.len() as u32).to_le_bytes());
    bytes.extend_from_slice(&previous.to_le_bytes());
    let checksum = checksum(&bytes, body);
    bytes.extend_from_slice(&checksum.to_le_bytes());
    bytes.extend_from_slice(body);
    (bytes, checksum)
}

/// Decodes the frame at the beginning of `bytes`, or returns `None` when there is no whole, sound one.
pub(crate) fn decode(bytes: &[u8]) -> Option<Frame<'_>> {
    let header = bytes.get(..HEADER)?;
    let number = |at: usize| {
        let field = header.get(at..at + 4)?;
        Some(u32::from_le_bytes(field.try_into().ok()?))
    };
    if header[..4] != MAGIC {
        return None;
    }
    let length = usize::try_from(number(4)?).ok().filter(|length| *length <= MAX_BODY)?;
    let body = bytes.get(HEADER..HEADER + length)?;
    let stated = number(12)?;
    let frame = Frame { previous: number(8)?, checksum: stated, body };
    (checksum(&header[..12], body) == stated).then_some(frame)
}

/// Returns whether a sound frame begins anywhere in `bytes`.
pub(crate) fn any_sound(bytes: &[u8]) -> bool {
    let starts = bytes.windows(MAGIC.len()).enumerate().filter(|(_, window)| *window == MAGIC);
    starts.into_iter().any(|(at, _)| decode(&bytes[at..]).is_some())
}

fn checksum(header: &[u8], body: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(header);
    hasher.update(body);
    hasher.finalize()
}
