//! Checksummed frames, the unit of writing.
//!
//! Layout, all numbers little-endian: magic (4 bytes), length of the body (4), checksum of the previous
//! frame (4), checksum (4) of the three fields and the body, body.

/// First bytes of a frame.
const MAGIC: [u8; 4] = *b"KLF1";
/// Length of the header, in bytes.
pub(crate) const HEADER_LEN: usize = 16;
/// Maximum length of the body, in bytes.
pub(crate) const MAX_BODY_LEN: usize = 1 << 30;

/// A decoded frame.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct Frame<'a> {
    /// Checksum of the previous frame.
    pub(crate) previous: u32,
    /// Checksum of this frame.
    pub(crate) checksum: u32,
    /// Body.
    pub(crate) body: &'a [u8],
}

impl Frame<'_> {
    /// Returns the length of the whole frame, in bytes.
    pub(crate) fn len(&self) -> usize {
        HEADER_LEN + self.body.len()
    }
}

/// Encodes a frame and returns it with its checksum.
pub(crate) fn encode(previous: u32, body: &[u8]) -> (Vec<u8>, u32) {
    let mut bytes = Vec::with_capacity(HEADER_LEN + body.len());
    bytes.extend_from_slice(&MAGIC);
    bytes.extend_from_slice(&(body.len() as u32).to_le_bytes());
    bytes.extend_from_slice(&previous.to_le_bytes());
    let checksum = checksum(&bytes, body);
    bytes.extend_from_slice(&checksum.to_le_bytes());
    bytes.extend_from_slice(body);
    (bytes, checksum)
}

/// Decodes the frame at the beginning of `bytes`; returns `None` if it is incomplete or invalid.
pub(crate) fn decode(bytes: &[u8]) -> Option<Frame<'_>> {
    let header = bytes.get(..HEADER_LEN)?;
    let number = |at: usize| {
        let field = header.get(at..at + 4)?;
        Some(u32::from_le_bytes(field.try_into().ok()?))
    };
    if header[..4] != MAGIC {
        return None;
    }
    let length = usize::try_from(number(4)?).ok().filter(|length| *length <= MAX_BODY_LEN)?;
    let body = bytes.get(HEADER_LEN..HEADER_LEN + length)?;
    let expected = number(12)?;
    let frame = Frame { previous: number(8)?, checksum: expected, body };
    (checksum(&header[..12], body) == expected).then_some(frame)
}

/// Returns whether a valid frame starts anywhere in `bytes`.
pub(crate) fn contains_valid_frame(bytes: &[u8]) -> bool {
    let starts = bytes.windows(MAGIC.len()).enumerate().filter(|(_, window)| *window == MAGIC);
    starts.into_iter().any(|(at, _)| decode(&bytes[at..]).is_some())
}

fn checksum(header: &[u8], body: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(header);
    hasher.update(body);
    hasher.finalize()
}
