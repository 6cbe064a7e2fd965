//! Encodings of stored values. Format 1 is plain JSON; format 2 puts a tag and a checksum before it; format 3 differs
//! from format 2 only in its tag, and may contain services, which versions that know only earlier formats would ignore.
//! All formats are read, whichever is written, so that replicas can be upgraded one by one and downgraded again.

/// How values are encoded.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Format {
    /// Plain JSON.
    PlainJson,
    /// JSON after a tag and a checksum.
    Checksummed,
    /// The same, but the value may contain services.
    #[default]
    Services,
}

/// Tag of format 2. No JSON text begins with it or with the tag of format 3. The two tags differ in two bits, so that a
/// single flipped bit can't turn one into the other.
const CHECKSUMMED_TAG: u8 = 2;
/// Tag of format 3.
const SERVICES_TAG: u8 = 4;

/// Why a value can't be decoded.
#[derive(Debug, thiserror::Error)]
pub enum FormatError {
    /// The value is truncated, or its format is unknown.
    #[error("truncated, or in an unknown format")]
    UnknownFormat,
    /// The checksum does not match the bytes.
    #[error("the checksum does not match: a byte was changed")]
    Checksum,
    /// The JSON does not decode to a value of the expected type.
    #[error("{0}")]
    Json(#[from] serde_json::Error),
}

impl Format {
    /// The newest format.
    pub const NEWEST: Self = Self::Services;
    /// All formats, the oldest first.
    const ALL: [Self; 3] = [Self::PlainJson, Self::Checksummed, Self::Services];

    /// The number of the format in the configuration and in the database.
    pub fn number(self) -> u32 {
        match self {
            Self::PlainJson => 1,
            Self::Checksummed => 2,
            Self::Services => 3,
        }
    }

    /// The format with that number.
    pub fn from_number(number: u32) -> Option<Self> {
        Self::ALL.into_iter().find(|format| format.number() == number)
    }

    /// Whether values in this format may contain services.
    pub fn has_services(self) -> bool {
        self == Self::Services
    }

    /// Encodes the JSON of a value.
    pub fn encode(self, json: &[u8]) -> Vec<u8> {
        match self {
            Self::PlainJson => json.to_vec(),
            Self::Checksummed => with_checksum(CHECKSUMMED_TAG, json),
            Self::Services => with_checksum(SERVICES_TAG, json),
        }
    }
}

fn with_checksum(tag: u8, json: &[u8]) -> Vec<u8> {
    [&[tag], crc32fast::hash(json).to_le_bytes().as_slice(), json].concat()
}

/// Decodes a value in any known format to its JSON.
pub fn decode(value: &[u8]) -> Result<Vec<u8>, FormatError> {
    match value {
        [CHECKSUMMED_TAG | SERVICES_TAG, a, b, c, d, json @ ..] => {
            if crc32fast::hash(json).to_le_bytes() != [*a, *b, *c, *d] {
                return Err(FormatError::Checksum);
            }
            Ok(json.to_vec())
        }
        [b'{' | b'[' | b'"' | b'n' | b'0'..=b'9', ..] => Ok(value.to_vec()),
        _ => Err(FormatError::UnknownFormat),
    }
}

#[cfg(test)]
mod tests;
