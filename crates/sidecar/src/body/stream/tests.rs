use super::*;
use std::task::Waker;

fn next_frame(body: &mut RequestBody) -> Poll<Option<Result<Bytes, BodyIncomplete>>> {
    let mut context = Context::from_waker(Waker::noop());
    let frame = Pin::new(body).poll_frame(&mut context);
    frame.map(|frame| frame.map(|frame| frame.map(|frame| frame.into_data().unwrap_or_default())))
}

fn attempt(stream: &BodyStream) -> Result<RequestBody, BodyConsumed> {
    RequestBody::new(Bytes::from_static(b"start"), Some(stream.clone()), WriteProgress::new(None))
}

fn takes(body: &mut RequestBody, expected: &[u8]) -> bool {
    matches!(next_frame(body), Poll::Ready(Some(Ok(piece))) if piece == expected)
}

// Otherwise two attempts each send a part of the body, and one of them ends it as if it were complete.
#[test]
fn only_latest_attempt_reads_streamed_body() {
    let (sender, stream) = BodyStream::new(None);
    let mut first = attempt(&stream).expect("nothing was sent");
    assert!(takes(&mut first, b"start") && next_frame(&mut first).is_pending());
    let mut second = attempt(&stream).expect("nothing of the rest was sent");
    sender.pieces.try_send(Bytes::from_static(b"rest")).expect("the channel has room");
    assert!(matches!(next_frame(&mut first), Poll::Ready(Some(Err(BodyIncomplete)))));
    assert!(takes(&mut second, b"start") && takes(&mut second, b"rest"));
    sender.finish();
    assert!(matches!(next_frame(&mut first), Poll::Ready(Some(Err(BodyIncomplete)))));
    assert!(matches!(next_frame(&mut second), Poll::Ready(None)));
}

#[test]
fn streamed_body_is_not_sent_again_once_consumed() {
    let (sender, stream) = BodyStream::new(Some(9));
    let mut first = attempt(&stream).expect("nothing was sent");
    sender.pieces.try_send(Bytes::from_static(b"rest")).expect("the channel has room");
    assert!(takes(&mut first, b"start") && takes(&mut first, b"rest"));
    assert!(attempt(&stream).is_err());
}
