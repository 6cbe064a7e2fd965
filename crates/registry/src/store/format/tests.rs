//! Decoding of all formats, and detection of flipped bits.

use super::*;

#[test]
fn all_formats_decode_and_checksummed_ones_detect_any_flipped_bit() {
    let plain = br#"{"a":[1,2,3]}"#;
    for format in Format::ALL {
        assert_eq!(decode(&format.encode(plain)).expect("the value decodes"), plain);
        assert_eq!(Format::from_number(format.number()), Some(format));
    }
    for encoded in [Format::Checksummed.encode(plain), Format::Services.encode(plain)] {
        for at in 0..encoded.len() {
            for bit in 0..8 {
                let mut flipped = encoded.clone();
                flipped[at] ^= 1 << bit;
                // A flipped tag may look like the start of plain JSON, but the value is not valid JSON then.
                let decoded = decode(&flipped);
                let is_invalid_json = |v: Vec<u8>| serde_json::from_slice::<serde_json::Value>(&v).is_err();
                assert!(decoded.is_err() || at == 0 && decoded.is_ok_and(is_invalid_json));
            }
        }
        assert!(decode(&encoded[..4]).is_err());
    }
    assert!(decode(b"").is_err());
}
