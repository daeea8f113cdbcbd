//! Stand-ins of the outside systems, for tests and the demonstration.
//!
//! - [`platform`] serves the store, the VM list and the workers over HTTP on
//!   loopback, with faults that a test switches on.
//! - [`upstream`] answers requests, with the faults that a test asks for.
//! - [`caller`] sends a seeded load and compares the answers with the ledgers.
//! - [`fleet`] builds small fleets over such upstreams.
//! - [`port`] finds loopback addresses for entries.
//! - [`region`] runs fleet controllers over a store, VMs and workers in memory, with an oracle.

pub mod caller;
pub mod fleet;
pub mod platform;
pub mod port;
pub mod region;
pub mod store;
pub mod upstream;
pub mod vms;
pub mod workers;

mod wire;
