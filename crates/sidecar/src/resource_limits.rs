//! How the process's file descriptors and memory are divided.

/// Maximum length of a request head, in bytes.
pub const MAX_HEAD_BYTES: usize = 16 << 10;
/// Descriptors kept in reserve in any case, for discovery, peers, signals and accepting.
const RESERVED_DESCRIPTORS: usize = 16;
/// One in this many descriptors is kept in reserve in addition.
const RESERVED_DIVISOR: usize = 8;

/// Memory of the program without clients: its pages, the endpoint list, and tables.
const PROGRAM_BYTES: usize = 6 << 20;
/// Memory of a client's connection that carries no request: its task, its socket, and the start of a head.
const CLIENT_BYTES: usize = 8 << 10;
/// One in `CLIENTS_DIVISOR` bytes of memory may be taken by such connections.
const CLIENTS_DIVISOR: usize = 8;
/// Memory of a connection to an endpoint at rest.
const IDLE_UPSTREAM_BYTES: usize = 1 << 10;
/// Memory of one request id.
const REQUEST_ID_BYTES: usize = 8;
/// How many ids are remembered at most: half of them are those of a process that forwards 6,500 requests a second.
const MAX_REQUEST_IDS: usize = 64 << 10;
/// One in `REQUEST_IDS_DIVISOR` bytes of memory may be taken by them.
const REQUEST_IDS_DIVISOR: usize = 64;
/// One in `ALLOCATOR_DIVISOR` bytes of the memory for requests and responses is left to the allocator, for free space
/// between allocations.
const ALLOCATOR_DIVISOR: usize = 8;
/// Requests get `REQUEST_SHARE` in `SHARES` of that memory, and responses the rest: a request takes memory for the HTTP
/// client as well.
const REQUEST_SHARE: usize = 3;
const SHARES: usize = 5;

/// How the process's file descriptors and memory are divided.
#[derive(Clone, Copy)]
pub struct ResourceLimits {
    /// Maximum number of client connections.
    pub clients: usize,
    /// Maximum number of connections to endpoints.
    pub upstream: usize,
    /// Bytes for requests: heads, bodies and exchanges with endpoints.
    pub request_bytes: usize,
    /// Bytes for response bodies.
    pub response_bytes: usize,
    /// Number of request ids to remember.
    pub request_ids: usize,
}

impl ResourceLimits {
    /// Divides descriptors and memory. Of the descriptors that are not in reserve, clients and endpoints get half each,
    /// as a request takes one on each side. Memory that neither the program nor connections without requests take is
    /// shared by requests and responses.
    pub fn new(descriptors: usize, memory_mb: usize) -> Self {
        let usable = (descriptors - descriptors / RESERVED_DIVISOR).saturating_sub(RESERVED_DESCRIPTORS);
        let per_side = usable.max(2) / 2;
        let memory = memory_mb << 20;
        let clients = per_side.min(memory / CLIENTS_DIVISOR / CLIENT_BYTES).max(1);
        let upstream = per_side.min(memory / IDLE_UPSTREAM_BYTES / CLIENTS_DIVISOR).max(1);
        let request_ids = MAX_REQUEST_IDS.min(memory / REQUEST_IDS_DIVISOR / REQUEST_ID_BYTES);
        let program = PROGRAM_BYTES.min(memory / 2);
        let connections = clients * CLIENT_BYTES + upstream * IDLE_UPSTREAM_BYTES;
        let free = memory.saturating_sub(program + connections + request_ids * REQUEST_ID_BYTES);
        let shared = free - free / ALLOCATOR_DIVISOR;
        let request_bytes = shared / SHARES * REQUEST_SHARE;
        Self { clients, upstream, request_bytes, response_bytes: shared - request_bytes, request_ids }
    }

    /// The limits of that many such processes together. Ids are known to all of them, so there are not more.
    pub fn of_processes(self, processes: usize) -> Self {
        Self {
            clients: self.clients * processes,
            upstream: self.upstream * processes,
            request_bytes: self.request_bytes * processes,
            response_bytes: self.response_bytes * processes,
            request_ids: self.request_ids,
        }
    }

    /// `shares` of `all` equal parts of these limits.
    pub fn part(self, shares: usize, all: usize) -> Self {
        Self {
            clients: self.clients * shares / all,
            upstream: self.upstream * shares / all,
            request_bytes: self.request_bytes * shares / all,
            response_bytes: self.response_bytes * shares / all,
            request_ids: self.request_ids,
        }
    }
}

#[cfg(test)]
mod tests;
