//! Aliases for the ids that the document and the messages carry.

use smol_str::SmolStr;

/// Name of an availability zone.
pub type Zone = SmolStr;
/// Name of a region.
pub type Region = SmolStr;
/// Name of a service.
pub type Service = SmolStr;
/// Name of an endpoint.
pub type Endpoint = SmolStr;
/// Name of a lock-step group.
pub type Group = SmolStr;
/// Name of a team.
pub type Team = SmolStr;
/// Name of a process of the system, unique in the fleet.
pub type Process = SmolStr;
/// Number of one life of a process, larger for each later life.
pub type Incarnation = u64;
/// Index of a rank within its group.
pub type Rank = u16;
