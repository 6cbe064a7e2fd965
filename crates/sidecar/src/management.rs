//! The operators' interface: one line to a connection, one line back, or metrics in many lines.

mod call;
mod operations;
mod server;

pub use operations::Management;
pub use server::{bind, serve};
