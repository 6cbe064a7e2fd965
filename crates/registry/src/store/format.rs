//! Encodings of stored values. Form 1 was plain JSON; form 2 puts a tag and a checksum before it; form 3 differs from
//! form 2 in its tag alone, and may contain services, which programs of the earlier forms would ignore. All forms are
//! read, whichever is written, so that replicas can be upgraded one after the other and go back.

/// How values are encoded.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Format {
    /// Plain JSON.
    PlainJson,
    /// JSON after a tag and a checksum.
    Checksummed,
    /// The same, of lists with services.
    #[default]
    Services,
}

/// Tag of form 2. No JSON text begins with it or with that of form 3, and two bits lie between them.
const CHECKSUMMED_TAG: u8 = 2;
/// Tag of form 3.
const SERVICES_TAG: u8 = 4;

/// Why a value can't be decoded.
#[derive(Debug, thiserror::Error)]
pub enum FormatError {
    /// It is truncated, or of no form that is known.
    #[error("cut off or of no known form")]
    UnknownForm,
    /// The checksum is not that of the bytes.
    #[error("the checksum does not match: a byte was changed")]
    Checksum,
    /// The JSON is not that of the value.
    #[error("{0}")]
    Json(#[from] serde_json::Error),
}

impl Format {
    /// The newest format.
    pub const NEWEST: Self = Self::Services;
    /// All formats, the oldest first.
    const ALL: [Self; 3] = [Self::PlainJson, Self::Checksummed, Self::Services];

    /// The number of the form, as configuration and file have it.
    pub fn number(self) -> u32 {
        match self {
            Self::PlainJson => 1,
            Self::Checksummed => 2,
            Self::Services => 3,
        }
    }

    /// The format of that number.
    pub fn from_number(number: u32) -> Option<Self> {
        Self::ALL.into_iter().find(|format| format.number() == number)
    }

    /// Whether lists with services can be written in it.
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

/// Decodes a value of any known form to its JSON.
pub fn decode(value: &[u8]) -> Result<Vec<u8>, FormatError> {
    match value {
        [CHECKSUMMED_TAG | SERVICES_TAG, a, b, c, d, json @ ..] => {
            if crc32fast::hash(json).to_le_bytes() != [*a, *b, *c, *d] {
                return Err(FormatError::Checksum);
            }
            Ok(json.to_vec())
        }
        [b'{' | b'[' | b'"' | b'n' | b'0'..=b'9', ..] => Ok(value.to_vec()),
        _ => Err(FormatError::UnknownForm),
    }
}

#[cfg(test)]
mod tests;
