//! Sample entries, and accessors for a watcher's actions.

use crate::registry_model::RegistryModel;
use lotusmoor_registry_client::{Action, AppliedList, Entry, Report};

pub fn entry(name: &str, service: &str) -> Entry {
    let text = format!(r#"{{"name":"{name}","address":"127.0.0.1:80"}}"#);
    let service = (!service.is_empty()).then(|| service.to_owned());
    Entry { service, ..serde_json::from_str(&text).expect("an entry") }
}

pub fn names(services: &[&str]) -> Vec<String> {
    services.iter().map(|s| (*s).to_owned()).collect()
}

/// Whether an entry belongs to one of these services; true for every entry if `services` is empty.
pub fn is_watched(entry: &Entry, services: &[String]) -> bool {
    services.is_empty() || entry.service.as_ref().is_some_and(|s| services.contains(s))
}

pub fn reports(out: &[Action]) -> Vec<&Report> {
    out.iter().filter_map(|a| if let Action::Report(r) = a { Some(r) } else { None }).collect()
}

pub fn applied(out: &[Action]) -> Option<&AppliedList> {
    out.iter().find_map(|a| if let Action::Apply(applied) = a { Some(applied) } else { None })
}

pub fn poll_errors(out: &[Action]) -> Vec<String> {
    let error = |report: &Report| match report {
        Report::PollFailed { error, .. } => Some(error.to_string()),
        _ => None,
    };
    reports(out).into_iter().filter_map(error).collect()
}

/// Three services of four servers each: `a-0` to `c-3`.
pub fn three_services() -> RegistryModel {
    let mut list = RegistryModel::bootstrapped(1);
    for service in ["a", "b", "c"] {
        for i in 0..4 {
            assert!(list.register(&format!("{service}-{i}"), service));
        }
    }
    list
}
