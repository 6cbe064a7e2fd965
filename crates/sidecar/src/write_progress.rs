//! How much of a request is out, and whether anything of its answer has come.

use crate::send_gate::GatedSend;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

/// How much of a request the socket has taken. An endpoint begins one when its last byte has come, so until
/// that is written it has surely not run.
#[derive(Clone, Default)]
pub struct WriteProgress(Rc<State>);

#[derive(Default)]
struct State {
    /// Bytes of the blank line that ends the head seen so far, 4 once the head is out.
    head_end: Cell<u8>,
    body_left: Cell<usize>,
    begun: Cell<bool>,
    heard: Cell<bool>,
    /// What says whether the request may begin to go out; none where nothing depends on it.
    send: Option<Rc<GatedSend>>,
}

impl WriteProgress {
    /// For a request with a body of that length, or one whose length is not known.
    pub fn new(body: Option<usize>) -> Self {
        let meter = Self::default();
        meter.0.body_left.set(body.unwrap_or(usize::MAX));
        meter
    }

    /// The same for a request whose first byte the gate has to allow.
    pub fn of_send(body: Option<usize>, send: Rc<GatedSend>) -> Self {
        let body_left = Cell::new(body.unwrap_or(usize::MAX));
        Self(Rc::new(State { body_left, send: Some(send), ..State::default() }))
    }

    /// Whether the next byte may be written; asked at that moment.
    pub fn may_write(&self) -> bool {
        self.0.send.as_ref().is_none_or(|send| send.may_write())
    }

    /// Nothing was written, as it might not be any more.
    pub fn denied(&self) -> bool {
        self.0.send.as_ref().is_some_and(|send| send.denial().is_some())
    }

    /// The endpoint is told that its answer is waited for so long from now on.
    pub fn advertise_wait(&self, wait: Duration) {
        if let Some(send) = &self.0.send {
            send.advertise_wait(wait);
        }
    }

    /// The end of a body whose length was not known is about to be written: from now on the request may run.
    pub fn ends(&self) {
        self.0.body_left.set(0);
    }

    /// The socket has taken these bytes.
    pub fn count(&self, bytes: &[u8]) {
        let state = &self.0;
        state.begun.set(true);
        if let Some(send) = &state.send {
            send.begin();
        }
        let mut bytes = bytes.iter();
        while state.head_end.get() < 4 {
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

    /// Some byte is out.
    pub fn begun(&self) -> bool {
        self.0.begun.get()
    }

    /// Some byte of an answer has come.
    pub fn heard(&self) -> bool {
        self.0.heard.get()
    }

    /// Some byte of an answer has come now.
    pub fn hear(&self) {
        self.0.heard.set(true);
    }

    /// The last byte is out.
    pub fn complete(&self) -> bool {
        self.0.head_end.get() == 4 && self.0.body_left.get() == 0
    }
}

#[cfg(test)]
mod tests;
