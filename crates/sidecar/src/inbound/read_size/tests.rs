use super::*;
use bytes::BufMut;

// However many bytes are wanted and however little room a buffer has, a read has room for at least one byte, and reads no
// more than is wanted.
#[test]
fn every_read_has_room() {
    for max in 1..=64 {
        let size = ReadSize::new(max);
        for spare in 0..=64 {
            for content in [0, 1, 100] {
                let mut buffer = BytesMut::with_capacity(content + spare);
                buffer.put_bytes(b'x', content);
                let room = size.make_room(&mut buffer).get();
                assert!(room <= max, "{max}, {spare}, {content}");
                assert!(buffer.capacity() - buffer.len() >= room, "{max}, {spare}, {content}");
            }
        }
    }
}

#[test]
fn uses_up_what_is_left_of_an_allocation() {
    let mut buffer = BytesMut::with_capacity(1000);
    buffer.put_bytes(b'x', 600);
    assert_eq!(ReadSize::new(1600).make_room(&mut buffer).get(), 400);
    assert_eq!(ReadSize::new(1601).make_room(&mut buffer).get(), 1601);
}
