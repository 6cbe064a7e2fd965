//! Plays a case of the second review: `review-case NAME RECORD`. Exits with 1 if the rule was broken, 0 if it held, 2 if
//! the case couldn't run.

mod cases;
mod clients;
mod http;
mod platform;
mod settings;

use platform::{Deployment, Record};
use std::path::Path;
use std::process::ExitCode;

/// What a case found.
pub enum Verdict {
    Held,
    Broken,
    NotRun,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, name, record] = &arguments[..] else {
        eprintln!("usage: review-case NAME RECORD");
        return ExitCode::from(2);
    };
    let record = Record::new(Path::new(record)).expect("the record can be written");
    let deployment = match Deployment::new(&record) {
        Ok(deployment) => deployment,
        Err(e) => {
            record.say(format_args!("cannot run: {e}"));
            return ExitCode::from(2);
        }
    };
    let verdict = match cases::by_name(name) {
        Some(case) => case(&deployment, &record),
        None => Verdict::NotRun,
    };
    let (text, code) = match verdict {
        Verdict::Held => ("the rule held", 0),
        Verdict::Broken => ("the rule was broken", 1),
        Verdict::NotRun => ("the case could not run", 2),
    };
    record.say(text);
    ExitCode::from(code)
}
