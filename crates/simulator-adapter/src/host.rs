//! Hosts any number of balancer instances: reads batches of messages, passes each event to its instance, and writes one
//! reply per batch.

use crate::decode::{self, EndpointLists, Entry};
use crate::encode;
use crate::error::{LineError, WireError};
use crate::line::Line;
use crate::names::Names;
use lotusmoor_balancer::{Action, Balancer, Micros};
use std::collections::HashMap;
use std::io::{BufRead, Write};

/// Serves the protocol until the end of input.
pub fn serve(mut input: impl BufRead, mut output: impl Write) -> Result<(), WireError> {
    let mut host = Host::default();
    let (mut bytes, mut number) = (Vec::new(), 0);
    loop {
        bytes.clear();
        number += 1;
        let at_line = |error| WireError::Line { number, error };
        if input.read_until(b'\n', &mut bytes)? == 0 {
            let unfinished = host.batch.is_some();
            return if unfinished { Err(at_line(LineError::UnfinishedBatch)) } else { Ok(()) };
        }
        let text = std::str::from_utf8(&bytes).map_err(|_| at_line(LineError::NotUtf8))?;
        let text = text.trim_end_matches(['\n', '\r']);
        if host.handle_line(text).map_err(at_line)? == Progress::ReplyComplete {
            output.write_all(host.reply.as_bytes())?;
            output.flush()?;
            host.reply.clear();
        }
    }
}

/// A running balancer, with its names.
struct Instance {
    balancer: Balancer,
    names: Names,
}

/// The batch that is being read.
#[derive(Clone, Copy)]
struct Batch {
    now: Micros,
    number: u64,
}

/// The endpoint list that is being read.
#[derive(Clone, Copy)]
struct PendingList {
    id: u64,
    entries_left: usize,
}

#[derive(PartialEq)]
enum Progress {
    MoreInput,
    ReplyComplete,
}

#[derive(Default)]
struct Host {
    instances: HashMap<u64, Instance>,
    lists: EndpointLists,
    batch: Option<Batch>,
    pending_list: Option<PendingList>,
    actions: Vec<Action>,
    reply: String,
}

impl Host {
    fn handle_line(&mut self, text: &str) -> Result<Progress, LineError> {
        let line = Line::new(text);
        if let Some(list) = self.pending_list {
            self.read_entry(&line, list)?;
            return Ok(Progress::MoreInput);
        }
        let Some(batch) = self.batch else {
            self.begin_batch(&line)?;
            return Ok(Progress::MoreInput);
        };
        match line.name {
            "mark" => return Err(LineError::NestedBatch),
            "go" => {
                self.batch = None;
                encode::batch_end(batch.number, &mut self.reply).expect("writing to a string cannot fail");
                return Ok(Progress::ReplyComplete);
            }
            "m" => return Err(LineError::OutsideList),
            "catalog" => self.begin_list(line.number("RosterId")?, line.number("Hosts")?),
            "start" => {
                let id = line.number("I")?;
                let (balancer, names) = decode::start(&line)?;
                self.instances.insert(id, Instance { balancer, names });
            }
            "kill" => {
                self.instances.remove(&line.number("I")?);
            }
            name if decode::is_event(name) => self.handle_event(&line, batch.now)?,
            _ => {}
        }
        Ok(Progress::MoreInput)
    }

    fn begin_batch(&mut self, line: &Line) -> Result<(), LineError> {
        match line.name {
            "mark" => self.batch = Some(Batch { now: line.number("WallUs")?, number: line.number("batch")? }),
            _ if line.is_empty => {}
            name => return Err(LineError::OutsideBatch { message: name.to_owned() }),
        }
        Ok(())
    }

    fn begin_list(&mut self, id: u64, entries: usize) {
        self.lists.insert(id, Vec::new());
        self.expect_entries(id, entries);
    }

    fn expect_entries(&mut self, id: u64, entries_left: usize) {
        self.pending_list = (entries_left > 0).then_some(PendingList { id, entries_left });
    }

    fn read_entry(&mut self, line: &Line, list: PendingList) -> Result<(), LineError> {
        if line.name != "m" {
            return Err(LineError::IncompleteList { list: list.id, missing: list.entries_left });
        }
        self.lists.entry(list.id).or_default().push(Entry::decode(line)?);
        self.expect_entries(list.id, list.entries_left - 1);
        Ok(())
    }

    /// Passes an event to its instance. Events for instances that are not running are ignored.
    fn handle_event(&mut self, line: &Line, now: Micros) -> Result<(), LineError> {
        let id: u64 = line.number("I")?;
        let Some(Instance { balancer, names }) = self.instances.get_mut(&id) else { return Ok(()) };
        let Some(event) = decode::event(line, names, &self.lists)? else { return Ok(()) };
        balancer.handle(now, event, &mut self.actions);
        for action in self.actions.drain(..) {
            encode::action(id, &action, &names.endpoints, &mut self.reply)
                .expect("writing to a string cannot fail");
        }
        Ok(())
    }
}
