use super::*;

/// What is read of a body that comes in pieces of that size, and what is left behind it.
fn read(framing: Framing, bytes: &[u8], size: usize) -> Result<(Vec<u8>, bool, Vec<u8>), StatusCode> {
    let (mut decoder, mut unread, mut body) = (BodyDecoder::new(framing), BytesMut::new(), Vec::new());
    for piece in bytes.chunks(size) {
        unread.extend_from_slice(piece);
        while let Some(piece) = decoder.decode(&mut unread)? {
            body.extend_from_slice(&piece);
        }
    }
    Ok((body, decoder.ended(), unread.to_vec()))
}

#[test]
fn decodes_body_split_at_any_byte() {
    let chunked = b"5\r\nhello\r\n6;name=\"value\"\r\n world\r\n0\r\nX-Sum: 1\r\n\r\nGET";
    for size in 1..=chunked.len() {
        let read = read(Framing::Chunked, chunked, size);
        assert_eq!(read, Ok((b"hello world".to_vec(), true, b"GET".to_vec())), "{size}");
    }
    for size in 1..=14 {
        let read = read(Framing::Sized(11), b"hello worldGET", size);
        assert_eq!(read, Ok((b"hello world".to_vec(), true, b"GET".to_vec())), "{size}");
    }
    assert_eq!(read(Framing::Chunked, b"0\r\n\r\n", 5), Ok((Vec::new(), true, Vec::new())));
    assert!(read(Framing::Chunked, b"5\r\nhello\r\n0\r\n", 4).is_ok_and(|(_, ended, _)| !ended));
}

#[test]
fn rejects_ambiguous_and_endless_chunks() {
    let bad = StatusCode::BAD_REQUEST;
    for text in ["x\r\n", "-1\r\n", "5\r\nhelloX\r\n", "5\r\nhello\n\n", "\r\n", "0\r\nno colon\r\n\r\n"] {
        assert_eq!(read(Framing::Chunked, text.as_bytes(), 3), Err(bad), "{text}");
    }
    let long = format!("5;{}", "x".repeat(2 * MAX_CHUNK_LINE_BYTES));
    assert_eq!(read(Framing::Chunked, long.as_bytes(), 100), Err(bad));
    let trailers = format!("0\r\nA: {}", "x".repeat(2 * MAX_TRAILER_BYTES));
    assert_eq!(read(Framing::Chunked, trailers.as_bytes(), 100), Err(bad));
    for size in ["2000001", "ffffffffffffffff"] {
        let read = read(Framing::Chunked, format!("{size}\r\n").as_bytes(), 100);
        assert_eq!(read, Err(StatusCode::PAYLOAD_TOO_LARGE), "{size}");
    }
}
