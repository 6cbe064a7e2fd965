//! The digest of a list's history.

const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x100_0000_01b3;

/// The text that extends the digests when an epoch starts. It is fixed: all replicas must compute the same digests.
pub(super) const BOOTSTRAP_TEXT: &str = "founded";

/// Extends a digest by a number and a text, with FNV-1a, so that equal histories have equal digests.
pub(super) fn extend(digest: u64, number: u64, text: &str) -> u64 {
    let number_bytes = number.to_le_bytes();
    let bytes = number_bytes.iter().copied().chain(text.bytes());
    let start = digest ^ FNV_OFFSET_BASIS;
    bytes.fold(start, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME))
}
