//! Deliberate defects, to test that the checker detects them.

/// A defect of the registry, of a disk, or of what readers get.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Defect {
    /// Disks acknowledge syncs without syncing.
    SyncsAreIgnored,
    /// Linearizable reads are answered from local state.
    LinearizableReadsAreLocal,
    /// Replicas report an age of zero for their lists.
    AgesAreZero,
    /// Writes are acknowledged before a majority has them.
    EarlyAcknowledgement,
    /// An endpoint that moves to another service leaves no tombstone in the old one.
    MovesLeaveNoTombstone,
    /// The update floor, the oldest index from which incremental updates are possible, is ignored: readers get
    /// incremental updates although tombstones that they need were dropped.
    UpdateFloorIsIgnored,
    /// Readers of services get all endpoints.
    ServicesAreNotFiltered,
    /// Waiting readers of services are not woken.
    WakeupsAreLost,
    /// The digests that readers of services get differ by replica.
    DigestsDifferByReplica,
}
