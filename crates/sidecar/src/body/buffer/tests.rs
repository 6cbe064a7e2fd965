use super::*;

#[test]
fn takes_little_more_memory_than_its_content() {
    for (known, piece_bytes) in [(0, 1), (0, 500), (0, MAX_PIECE_BYTES), (64_000, 9_999)] {
        let mut buffer = BodyBuffer::with_capacity(known);
        while buffer.len() < MAX_BUFFERED_BYTES {
            buffer.append(&vec![b'x'; piece_bytes]);
            let bound = MAX_CAPACITY.min(known.max(2 * buffer.len()));
            assert!(buffer.0.capacity() <= bound, "{} of {}", buffer.0.capacity(), buffer.len());
        }
        assert!(buffer.into_bytes().iter().all(|byte| *byte == b'x'));
    }
}
