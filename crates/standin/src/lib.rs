//! Stand-ins of the outside systems, for tests and the demonstration.
//!
//! [`platform`] serves the store, the VM list and the workers over HTTP on
//! loopback, with faults that a test switches on.

pub mod platform;
pub mod store;
pub mod vms;
pub mod workers;
