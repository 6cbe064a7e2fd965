//! How much of a request was written, and whether any of its response was received.

use crate::metrics::SendDenial;
use crate::send_gate::GatedSend;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

/// Number of bytes of the sequence that ends a head: CR LF CR LF.
const HEAD_END_BYTES: u8 = 4;

/// The progress of one request. An endpoint runs a request once its last byte has arrived, so a request whose last byte
/// was not written has certainly not run.
#[derive(Clone, Default)]
pub struct WriteProgress(Rc<State>);

#[derive(Default)]
struct State {
    /// Bytes written of the sequence that ends the head, [`HEAD_END_BYTES`] once the head is written.
    head_end: Cell<u8>,
    /// Bytes of the body that are still to be written; `usize::MAX` if the length is not known.
    body_left: Cell<usize>,
    begun: Cell<bool>,
    received_any: Cell<bool>,
    /// Decides whether the request may begin to be written; `None` if it always may.
    send: Option<Rc<GatedSend>>,
}

impl WriteProgress {
    /// Creates the progress of a request with a body of that length, or of one whose length is not known.
    pub fn new(body: Option<usize>) -> Self {
        let progress = Self::default();
        progress.0.body_left.set(body.unwrap_or(usize::MAX));
        progress
    }

    /// Creates the progress of a request whose first byte has to be permitted by `send`.
    pub fn for_gated_send(body: Option<usize>, send: Rc<GatedSend>) -> Self {
        let body_left = Cell::new(body.unwrap_or(usize::MAX));
        Self(Rc::new(State { body_left, send: Some(send), ..State::default() }))
    }

    /// Whether the next byte may be written now.
    pub fn may_write(&self) -> bool {
        self.0.send.as_ref().is_none_or(|send| send.may_write())
    }

    /// Why the send was denied, if it was.
    pub fn denial(&self) -> Option<SendDenial> {
        self.0.send.as_ref()?.denial()
    }

    /// Records the wait that is advertised to the endpoint.
    pub fn advertise_wait(&self, wait: Duration) {
        if let Some(send) = &self.0.send {
            send.advertise_wait(wait);
        }
    }

    /// Records that the end of a body of unknown length is about to be written: from now on the request may run.
    pub fn record_body_end(&self) {
        self.0.body_left.set(0);
    }

    /// Records that the socket has accepted these bytes.
    pub fn record_written(&self, bytes: &[u8]) {
        let state = &self.0;
        state.begun.set(true);
        if let Some(send) = &state.send {
            send.begin();
        }
        let mut bytes = bytes.iter();
        while state.head_end.get() < HEAD_END_BYTES {
            let Some(&byte) = bytes.next() else { return };
            let seen = state.head_end.get();
            state.head_end.set(match byte {
                b'\r' if seen == 2 => 3,
                b'\r' => 1,
                b'\n' if seen == 1 || seen == 3 => seen + 1,
                _ => 0,
            });
        }
        state.body_left.set(state.body_left.get().saturating_sub(bytes.len()));
    }

    /// Whether any byte was written.
    pub fn has_begun(&self) -> bool {
        self.0.begun.get()
    }

    /// Whether any byte of a response was received.
    pub fn received_any(&self) -> bool {
        self.0.received_any.get()
    }

    /// Records that some of a response was received.
    pub fn record_received(&self) {
        self.0.received_any.set(true);
    }

    /// Whether some of the request was written, but not all of it.
    pub fn is_partial(&self) -> bool {
        self.has_begun() && !self.is_complete()
    }

    /// Whether the last byte was written.
    pub fn is_complete(&self) -> bool {
        self.0.head_end.get() == HEAD_END_BYTES && self.0.body_left.get() == 0
    }
}

#[cfg(test)]
mod tests;
