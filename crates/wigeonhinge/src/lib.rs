//! Coordination parts of a fleet capacity and maintenance manager.
//!
//! Every part is a deterministic state machine without I/O: it takes events,
//! the current [`Time`] and a seed where chance enters, and gives back actions
//! for the embedder to carry out. `wigeonhinged` is one such embedder.
//!
//! - [`audit`] keeps the audit trail.
//! - [`config`] adopts configurations and resolves edits.
//! - [`gateway`] decides on requests: admission, choice of upstream, retries.
//!   It composes [`share`], [`admit`], [`route`], [`eject`] and [`retry`].
//! - [`fleet`] checks a fleet description.
//! - [`ledger`] records which pool owns a VM and guards budgets.
//! - [`controller`] drives maintenance, moves and inventory edits of a region.
//! - [`scheduler`] decides on the jobs of a pool.
//! - [`lease`], [`role`] and [`membership`] divide duties among the live entries.
//! - [`batch`] decides on jobs of steps and tasks, on pools and on waves of a platform.
//! - [`outcome`] lists the error kinds of requests and their answers.

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
pub mod job;
pub mod lease;
pub mod ledger;
pub mod membership;
pub mod moves;
pub mod outcome;
pub mod place;
pub mod quota;
pub mod retry;
pub mod role;
pub mod route;
pub mod scheduler;
pub mod share;
pub mod usage;
pub mod wave;

pub use crate::error::Category;
pub use crate::error::Error;
pub use crate::error::Result;
pub use crate::id::Time;
