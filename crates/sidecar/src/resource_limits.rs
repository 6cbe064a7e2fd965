//! How the process's file descriptors and memory are divided.

/// Longest head of a request, in bytes.
pub const MAX_HEAD_BYTES: usize = 16 << 10;
/// Descriptors that stay in reserve at the least, for discovery, peers, signals and accepting.
const RESERVED_DESCRIPTORS: usize = 16;
/// One in this many descriptors stays in reserve as well.
const RESERVED_PART: usize = 8;

/// How the process's file descriptors and memory are divided.
#[derive(Clone, Copy)]
pub struct ResourceLimits {
    /// Connections of clients.
    pub clients: usize,
    /// Connections to endpoints.
    pub upstream: usize,
    /// Bytes for the bodies of requests, and as many for those of answers.
    pub body_bytes: usize,
}

impl ResourceLimits {
    /// Divides descriptors and memory. Clients and endpoints get half each of the descriptors that are not in
    /// reserve, as a request takes one on each side. A quarter of the memory each goes to heads, bodies of requests,
    /// bodies of answers, and the rest of the program.
    pub fn new(descriptors: usize, memory_mb: usize) -> Self {
        let usable = (descriptors - descriptors / RESERVED_PART).saturating_sub(RESERVED_DESCRIPTORS);
        let per_side = usable.max(2) / 2;
        let quarter = (memory_mb << 20) / 4;
        Self { clients: per_side.min(quarter / MAX_HEAD_BYTES), upstream: per_side, body_bytes: quarter }
    }
}

#[cfg(test)]
mod tests;
