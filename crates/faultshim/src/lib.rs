//! A library for tests only: preloaded into a process under test (`LD_PRELOAD`), it interposes functions of the C
//! library and makes them fail according to the fault table that `FAULT_TABLE` names. Without a table it changes
//! nothing. Nothing links it, and no deployed program loads it.

#[cfg(feature = "interpose")]
mod interpose;
