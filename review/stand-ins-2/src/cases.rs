//! The cases.

mod flood;
mod leave;
mod long;
mod restart;
mod upgrade;

use crate::Verdict;
use crate::platform::{Deployment, Record};

pub type Case = fn(&Deployment, &Record) -> Verdict;

/// The case of that name.
pub fn by_name(name: &str) -> Option<Case> {
    Some(match name {
        "leave" => leave::play,
        "long" => long::play,
        "upgrade" => upgrade::play,
        "flood" => flood::play,
        "restart" => restart::play,
        _ => return None,
    })
}
