use super::*;

#[test]
fn all_forms_are_read_and_any_flipped_bit_of_the_newer_ones_is_seen() {
    let plain = br#"{"a":[1,2,3]}"#;
    for format in Format::ALL {
        assert_eq!(decode(&format.encode(plain)).expect("it is read"), plain);
        assert_eq!(Format::from_number(format.number()), Some(format));
    }
    for sealed in [Format::Checksummed.encode(plain), Format::Services.encode(plain)] {
        for at in 0..sealed.len() {
            for bit in 0..8 {
                let mut flipped = sealed.clone();
                flipped[at] ^= 1 << bit;
                // The tag itself may turn into the start of a text, which then is no JSON.
                let read = decode(&flipped);
                let none = |r: Vec<u8>| serde_json::from_slice::<serde_json::Value>(&r).is_err();
                assert!(read.is_err() || at == 0 && read.is_ok_and(none));
            }
        }
        assert!(decode(&sealed[..4]).is_err());
    }
    assert!(decode(b"").is_err());
}
