//! Coordination logic of a fleet capacity and maintenance manager.
//!
//! Every module is a deterministic state machine without I/O: it takes events,
//! the current [`Time`] and, where it makes random choices, a seed, and returns
//! actions for the embedder to execute. `wigeonhinged` is one such embedder.
//!
//! - [`audit`] keeps the audit log.
//! - [`config`] adopts configurations and determines the outcome of edits.
//! - [`gateway`] handles requests: admission, choice of upstream, retries.
//!   It combines [`share`], [`admit`], [`route`], [`eject`] and [`retry`].
//! - [`fleet`] validates a fleet description.
//! - [`ledger`] records which pool owns each VM and enforces budgets.
//! - [`controller`] carries out maintenance, moves and inventory edits of a region.
//! - [`scheduler`] schedules the jobs of a pool.
//! - [`lease`], [`role`] and [`membership`] assign roles to the live entries.
//! - [`batch`] manages jobs of steps and tasks, the size of pools, and waves on a platform.
//! - [`partition`] divides a fleet among entries, each of which runs a [`batch`].
//! - [`workspace`] tells whose a call is, by its key.
//! - [`intake`] limits what the connections of clients may hold.
//! - [`outcome`] lists the error kinds of requests and the answers that callers get.

pub mod admit;
pub mod audit;
pub mod batch;
pub mod buffer;
pub mod config;
pub mod controller;
pub mod eject;
pub mod error;
pub mod fleet;
pub mod gateway;
pub mod id;
pub mod intake;
pub mod job;
pub mod lease;
pub mod ledger;
pub mod membership;
pub mod moves;
pub mod outcome;
pub mod partition;
pub mod place;
pub mod quota;
pub mod retry;
pub mod role;
pub mod route;
pub mod scheduler;
pub mod share;
pub mod usage;
pub mod wave;
pub mod workspace;

pub use crate::error::Category;
pub use crate::error::Error;
pub use crate::error::Result;
pub use crate::id::Time;
