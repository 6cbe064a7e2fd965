//! A library for tests alone: preloaded into a process under test (`LD_PRELOAD`), it stands in for functions of the C
//! library and makes them fail as the fault table says that `FAULT_TABLE` names. Without a table it changes nothing.
//! Nothing links it, and no deployed program loads it.

#[cfg(feature = "interpose")]
mod interpose;
