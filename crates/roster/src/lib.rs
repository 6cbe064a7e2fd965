//! roster
