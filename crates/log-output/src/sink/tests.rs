use super::*;
use std::io::{Read, Write};
use std::os::unix::net::UnixStream;

/// Fills a socket and returns the number of bytes that it accepted.
fn fill(writer: &mut UnixStream) -> usize {
    writer.set_nonblocking(true).expect("a non-blocking socket");
    let mut filled = 0;
    while let Ok(length) = writer.write(&[b'.'; 4096]) {
        filled += length;
    }
    writer.set_nonblocking(false).expect("a blocking socket");
    filled
}

fn assert_drops_lines_while_full(has_method: fn(&Sink) -> bool, prepare: fn(&mut Sink)) {
    let (mut reader, writer) = std::io::pipe().expect("a pipe");
    let mut sink = Sink::new(writer.as_raw_fd());
    prepare(&mut sink);
    let mut written = 0;
    while sink.write_line(b"a line\n").is_ok() {
        written += 1;
    }
    assert!(has_method(&sink));
    assert!(written > 0);
    assert_eq!(sink.write_line(b"a line\n"), Err(LineDropped));
    let mut lines = vec![0; written * 7];
    reader.read_exact(&mut lines).expect("the bytes were written");
    assert!(lines.chunks(7).all(|line| line == b"a line\n"));
    assert_eq!(sink.write_line(b"a line\n"), Ok(()));
}

#[test]
fn drops_lines_while_pipe_is_full() {
    assert_drops_lines_while_full(|sink| matches!(sink.method, Method::NoWait | Method::AfterPoll), |_| {});
}

// As on Linux before 6.4.
#[test]
fn drops_lines_while_pipe_is_full_without_rwf_nowait() {
    assert_drops_lines_while_full(
        |sink| matches!(sink.method, Method::AfterPoll),
        |sink| sink.method = Method::AfterPoll,
    );
}

#[test]
fn ends_partial_line_before_the_next() {
    let (mut reader, mut writer) = UnixStream::pair().expect("a pair");
    let filled = fill(&mut writer);
    let mut sink = Sink::new(writer.as_raw_fd());
    assert_eq!(sink.write_line(b"first\n"), Err(LineDropped));
    sink.line_unfinished = true;
    reader.read_exact(&mut vec![0; filled]).expect("the bytes were written");
    assert_eq!(sink.write_line(b"second\n"), Ok(()));
    let mut line = [0; 8];
    reader.read_exact(&mut line).expect("the line was written");
    assert_eq!(&line, b"\nsecond\n");
}

#[test]
fn truncates_lines_longer_than_pipe_buf() {
    let line = truncate_line(Cow::from(vec![b'x'; 2 * MAX_LINE_BYTES]));
    assert_eq!(line.len(), MAX_LINE_BYTES);
    assert!(line.ends_with(b"x\n"));
}

#[test]
fn drops_lines_whose_reader_is_gone() {
    let (reader, writer) = std::io::pipe().expect("a pipe");
    drop(reader);
    let mut sink = Sink::new(writer.as_raw_fd());
    assert_eq!(sink.write_line(b"a line\n"), Err(LineDropped));
}
