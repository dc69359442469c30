//! Type aliases for the ids in the document and in messages between processes.

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
/// Name of a process, unique in the fleet.
pub type Process = SmolStr;
/// Number of a process's start; each restart has a larger one.
pub type Incarnation = u64;
/// Index of a rank within its group, counted from 0.
pub type Rank = u16;
