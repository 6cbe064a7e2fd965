//! How much of a request is out, and whether anything of its answer has come.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

/// How much of a request the socket has taken. An endpoint begins one when its last byte has come, so until
/// that is written it has surely not run.
#[derive(Clone, Default)]
pub struct Meter(Rc<MeterState>);

#[derive(Default)]
struct MeterState {
    /// Bytes of the blank line that ends the head seen so far, 4 once the head is out.
    head_end: Cell<u8>,
    body_left: Cell<usize>,
    begun: Cell<bool>,
    heard: Cell<bool>,
    /// Whether the request may still begin to go out. Dropped when it has, as it holds what the request needs.
    leave: RefCell<Option<Box<dyn Fn() -> bool>>>,
    barred: Cell<bool>,
}

impl Meter {
    /// For a request with a body of that length, or one whose length is not known.
    pub fn new(body: Option<usize>) -> Self {
        let meter = Self::default();
        meter.0.body_left.set(body.unwrap_or(usize::MAX));
        meter
    }

    /// The same for a request that needs leave at the moment in which its first byte is written: what was decided some
    /// turns of the runtime or a late connection ago may not hold any more.
    pub fn with_leave(body: Option<usize>, leave: impl Fn() -> bool + 'static) -> Self {
        let meter = Self::new(body);
        *meter.0.leave.borrow_mut() = Some(Box::new(leave));
        meter
    }

    /// Whether the next byte may be written; asked at that moment.
    pub fn may_write(&self) -> bool {
        let barred = !self.begun() && self.0.leave.borrow().as_ref().is_some_and(|leave| !leave());
        self.0.barred.set(barred);
        !barred
    }

    /// Nothing was written, as it might not be any more.
    pub fn barred(&self) -> bool {
        self.0.barred.get()
    }

    /// The end of a body whose length was not known is about to be written: from now on the request may run.
    pub fn ends(&self) {
        self.0.body_left.set(0);
    }

    /// The socket has taken these bytes.
    pub fn count(&self, bytes: &[u8]) {
        let state = &self.0;
        state.begun.set(true);
        state.leave.borrow_mut().take();
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
