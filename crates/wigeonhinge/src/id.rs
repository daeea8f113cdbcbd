//! Type aliases for identifiers and time.

use std::time::Duration;

use compact_str::CompactString;

/// Time since a start that the embedder chooses; never goes back.
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

/// Identifier of a job.
pub type JobId = CompactString;

/// Name of an entry.
pub type EntryId = CompactString;

/// Name of a caller.
pub type CallerId = CompactString;

/// Configuration revision; grows by one with each accepted edit.
pub type Revision = u64;

/// Fencing number of a role; a later holder has a higher one.
pub type Fence = u64;

/// Number of a request within one entry.
pub type Ticket = u64;

/// Number of an upstream or of a service within one entry.
pub type Index = u32;
