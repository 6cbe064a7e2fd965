//! How a value is written. Form 1 was bare JSON; form 2 puts a mark and a checksum before it; form 3 is the same under
//! another mark, and may have services in it, which programs of the forms before would not see. All are read, whichever
//! is written, so that replicas can be upgraded one after the other and go back.

/// How values are written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Format {
    /// Bare JSON.
    Bare,
    /// Marked, with a checksum.
    Sealed,
    /// The same, of lists with services.
    #[default]
    Services,
}

/// The marks of forms 2 and 3: no JSON text begins with them, and no flipped bit makes one of the other.
const MARKS: [u8; 2] = [2, 4];

/// Why a value can't be read.
#[derive(Debug, thiserror::Error)]
pub enum FormatError {
    /// It is cut off, or of no form that is known.
    #[error("cut off or of no known form")]
    Form,
    /// The checksum is not that of the bytes.
    #[error("the checksum does not match: a byte was changed")]
    Checksum,
    /// The text can't be understood.
    #[error("{0}")]
    Json(#[from] serde_json::Error),
}

impl Format {
    /// The newest.
    pub const NEWEST: Self = Self::Services;
    /// All, the oldest first.
    const ALL: [Self; 3] = [Self::Bare, Self::Sealed, Self::Services];

    /// Its number.
    pub fn number(self) -> u32 {
        match self {
            Self::Bare => 1,
            Self::Sealed => 2,
            Self::Services => 3,
        }
    }

    /// The format of that number.
    pub fn of(number: u32) -> Option<Self> {
        Self::ALL.into_iter().find(|f| f.number() == number)
    }

    /// Whether lists with services are written in it.
    pub fn has_services(self) -> bool {
        self == Self::Services
    }

    /// Writes a value.
    pub fn seal(self, plain: &[u8]) -> Vec<u8> {
        match self {
            Self::Bare => plain.to_vec(),
            Self::Sealed => marked(MARKS[0], plain),
            Self::Services => marked(MARKS[1], plain),
        }
    }
}

fn marked(mark: u8, plain: &[u8]) -> Vec<u8> {
    [&[mark], crc32fast::hash(plain).to_le_bytes().as_slice(), plain].concat()
}

/// Reads a value of any known form.
pub fn open(value: &[u8]) -> Result<Vec<u8>, FormatError> {
    match value {
        [mark, a, b, c, d, plain @ ..] if MARKS.contains(mark) => {
            if crc32fast::hash(plain).to_le_bytes() != [*a, *b, *c, *d] {
                return Err(FormatError::Checksum);
            }
            Ok(plain.to_vec())
        }
        [b'{' | b'[' | b'"' | b'n' | b'0'..=b'9', ..] => Ok(value.to_vec()),
        _ => Err(FormatError::Form),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn all_forms_are_read_and_any_flipped_bit_of_the_newer_ones_is_seen() {
        let plain = br#"{"a":[1,2,3]}"#;
        for format in Format::ALL {
            assert_eq!(open(&format.seal(plain)).expect("it is read"), plain);
            assert_eq!(Format::of(format.number()), Some(format));
        }
        for sealed in [Format::Sealed.seal(plain), Format::Services.seal(plain)] {
            for at in 0..sealed.len() {
                for bit in 0..8 {
                    let mut flipped = sealed.clone();
                    flipped[at] ^= 1 << bit;
                    // The mark itself may turn into the start of a text, which then is none.
                    let read = open(&flipped);
                    let none = |r: Vec<u8>| serde_json::from_slice::<serde_json::Value>(&r).is_err();
                    assert!(read.is_err() || at == 0 && read.is_ok_and(none));
                }
            }
            assert!(open(&sealed[..4]).is_err());
        }
        assert!(open(b"").is_err());
    }
}
