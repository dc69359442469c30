use conf::id;

/// Engines of one group in one availability zone that may get requests, and what they have in flight.
///
/// A group whose engines lie in several zones has a partition in each. Engines whose group is not known
/// count as one group.
#[derive(Clone, Debug, PartialEq)]
pub struct Partition {
    /// Group of the engines; `None` if it is not known.
    pub group: Option<group::Key>,
    /// Availability zone of the engines.
    pub zone: id::Zone,
    /// Number of engines.
    pub engines: u32,
    /// Requests that the engines process concurrently, together.
    pub slots: u32,
    /// Requests in flight that are known, of all entries.
    pub requests: u32,
}
