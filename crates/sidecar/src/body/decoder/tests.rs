use super::*;

/// Decodes a body that arrives in pieces of that size. Returns its data, whether it has ended, and the bytes left after
/// it.
fn decode_in_pieces(
    framing: Framing,
    bytes: &[u8],
    size: usize,
) -> Result<(Vec<u8>, bool, Vec<u8>), StatusCode> {
    let (mut decoder, mut input, mut body) = (BodyDecoder::new(framing), BytesMut::new(), Vec::new());
    for piece in bytes.chunks(size) {
        input.extend_from_slice(piece);
        while let Some(piece) = decoder.decode(&mut input)? {
            body.extend_from_slice(&piece);
        }
    }
    Ok((body, decoder.ended(), input.to_vec()))
}

#[test]
fn decodes_body_split_at_any_byte() {
    let chunked = b"5\r\nhello\r\n6;name=\"value\"\r\n world\r\n0\r\nX-Sum: 1\r\n\r\nGET";
    for size in 1..=chunked.len() {
        let decoded = decode_in_pieces(Framing::Chunked, chunked, size);
        assert_eq!(decoded, Ok((b"hello world".to_vec(), true, b"GET".to_vec())), "{size}");
    }
    for size in 1..=14 {
        let decoded = decode_in_pieces(Framing::Sized(11), b"hello worldGET", size);
        assert_eq!(decoded, Ok((b"hello world".to_vec(), true, b"GET".to_vec())), "{size}");
    }
    assert_eq!(decode_in_pieces(Framing::Chunked, b"0\r\n\r\n", 5), Ok((Vec::new(), true, Vec::new())));
    assert!(decode_in_pieces(Framing::Chunked, b"5\r\nhello\r\n0\r\n", 4).is_ok_and(|(_, ended, _)| !ended));
}

#[test]
fn rejects_ambiguous_and_endless_chunks() {
    let bad = StatusCode::BAD_REQUEST;
    for text in ["x\r\n", "-1\r\n", "5\r\nhelloX\r\n", "5\r\nhello\n\n", "\r\n", "0\r\nno colon\r\n\r\n"] {
        assert_eq!(decode_in_pieces(Framing::Chunked, text.as_bytes(), 3), Err(bad), "{text}");
    }
    let long = format!("5;{}", "x".repeat(2 * MAX_CHUNK_LINE_BYTES));
    assert_eq!(decode_in_pieces(Framing::Chunked, long.as_bytes(), 100), Err(bad));
    let trailers = format!("0\r\nA: {}", "x".repeat(2 * MAX_TRAILER_BYTES));
    assert_eq!(decode_in_pieces(Framing::Chunked, trailers.as_bytes(), 100), Err(bad));
    for size in ["2000001", "ffffffffffffffff"] {
        let decoded = decode_in_pieces(Framing::Chunked, format!("{size}\r\n").as_bytes(), 100);
        assert_eq!(decoded, Err(StatusCode::PAYLOAD_TOO_LARGE), "{size}");
    }
}
