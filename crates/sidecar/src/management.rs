//! The operators' interface. Each connection carries one call, a single line, and its answer: one line, or the metrics.

mod call;
mod operations;
mod server;

pub use operations::Management;
pub use server::{bind, serve};
