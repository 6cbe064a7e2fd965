use super::*;
use crate::body::{MAX_BUFFERED_BYTES, STREAMED_PIECES_BYTES, STREAMED_REQUEST_BYTES};
use crate::memory_budget::request_bytes;

#[test]
fn limits_keep_descriptors_in_reserve_and_buffers_within_memory() {
    for (sockets, memory_mb) in [(32, 16), (256, 8), (256, 32), (1024, 32), (1024, 192), (65536, 64)] {
        let limits = ResourceLimits::new(sockets, memory_mb);
        assert!(limits.clients >= 1 && limits.clients + limits.upstream + 16 <= sockets, "{sockets}");
        let connections = limits.clients * CLIENT_BYTES + limits.upstream * IDLE_UPSTREAM_BYTES;
        let program = PROGRAM_BYTES.min((memory_mb << 20) / 2);
        let ids = limits.request_ids * REQUEST_ID_BYTES;
        let counted = program + connections + ids + limits.request_bytes + limits.response_bytes;
        assert!(counted < memory_mb << 20, "{memory_mb}");
    }
}

#[test]
fn limits_leave_room_for_streams() {
    for memory_mb in [8, 16, 32, 192] {
        let limits = ResourceLimits::new(32 * memory_mb, memory_mb);
        assert!(
            limits.request_bytes >= 4 * request_bytes(MAX_HEAD_BYTES, STREAMED_REQUEST_BYTES),
            "{memory_mb}"
        );
        assert!(limits.response_bytes >= 4 * (MAX_BUFFERED_BYTES + STREAMED_PIECES_BYTES), "{memory_mb}");
    }
}
