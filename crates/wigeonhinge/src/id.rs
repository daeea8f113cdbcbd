//! Types of identifiers, numbers and times.

use std::time::Duration;

use compact_str::CompactString;

/// Monotonic time since an origin that the embedder chooses.
pub type Time = Duration;

/// Name of a VM.
pub type VmId = CompactString;

/// Name of a pool.
pub type PoolId = CompactString;

/// Name of an availability zone.
pub type ZoneId = CompactString;

/// Name of a region.
pub type RegionId = CompactString;

/// Name of a rack.
pub type RackId = CompactString;

/// Name of an upstream.
pub type UpstreamId = CompactString;

/// Name of a service.
pub type ServiceId = CompactString;

/// Name of a team.
pub type TeamId = CompactString;

/// Name of a workspace of callers.
pub type WorkspaceId = CompactString;

/// Identifier of a job.
pub type JobId = CompactString;

/// Name of an entry.
pub type EntryId = CompactString;

/// Name of a caller.
pub type CallerId = CompactString;

/// Revision of the configuration; each accepted edit increases it by one.
pub type Revision = u64;

/// Fencing token of a role; each later holder has a higher one.
pub type Fence = u64;

/// Number by which an entry tells its requests apart; not known outside the entry.
pub type Ticket = u64;

/// Index of an upstream or of a service in the tables of one entry.
pub type Index = u32;
