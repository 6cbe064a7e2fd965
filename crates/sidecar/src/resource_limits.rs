//! How the process's file descriptors and memory are divided.

/// Maximum length of a request head, in bytes.
pub const MAX_HEAD_BYTES: usize = 16 << 10;
/// Descriptors kept in reserve in any case, for discovery, peers, signals and accepting.
const RESERVED_DESCRIPTORS: usize = 16;
/// One in this many descriptors is kept in reserve in addition.
const RESERVED_DIVISOR: usize = 8;

/// How the process's file descriptors and memory are divided.
#[derive(Clone, Copy)]
pub struct ResourceLimits {
    /// Maximum number of client connections.
    pub clients: usize,
    /// Maximum number of connections to endpoints.
    pub upstream: usize,
    /// Bytes for request bodies, and as many for response bodies.
    pub body_bytes: usize,
}

impl ResourceLimits {
    /// Divides descriptors and memory. Of the descriptors that are not in reserve, clients and endpoints get half each,
    /// as a request takes one on each side. A quarter of the memory each goes to request heads, request bodies,
    /// response bodies, and the rest of the program.
    pub fn new(descriptors: usize, memory_mb: usize) -> Self {
        let usable = (descriptors - descriptors / RESERVED_DIVISOR).saturating_sub(RESERVED_DESCRIPTORS);
        let per_side = usable.max(2) / 2;
        let quarter = (memory_mb << 20) / 4;
        Self { clients: per_side.min(quarter / MAX_HEAD_BYTES), upstream: per_side, body_bytes: quarter }
    }
}

#[cfg(test)]
mod tests;
