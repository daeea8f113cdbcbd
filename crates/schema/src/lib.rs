//! Messages and settings of wigeonhinge.
//!
//! Every type is generated from the files in `proto/`; the generated code is
//! committed, so that a build needs no generator. To change a message, edit its
//! schema and run `UPDATE_SCHEMA=1 cargo test -p wigeonhinge-schema`.
//!
//! Store documents, settings and fleet files are JSON through serde. Messages
//! between daemons use the protobuf encoding.

mod text;

#[allow(missing_docs, clippy::all)]
#[path = "generated/wigeonhinge.audit.rs"]
#[rustfmt::skip]
pub mod audit;

#[allow(missing_docs, clippy::all)]
#[path = "generated/wigeonhinge.fleet.rs"]
#[rustfmt::skip]
pub mod fleet;

#[allow(missing_docs, clippy::all)]
#[path = "generated/wigeonhinge.jobs.rs"]
#[rustfmt::skip]
pub mod jobs;

#[allow(missing_docs, clippy::all)]
#[path = "generated/wigeonhinge.ledger.rs"]
#[rustfmt::skip]
pub mod ledger;

#[allow(missing_docs, clippy::all)]
#[path = "generated/wigeonhinge.peer.rs"]
#[rustfmt::skip]
pub mod peer;

#[allow(missing_docs, clippy::all)]
#[path = "generated/wigeonhinge.settings.rs"]
#[rustfmt::skip]
pub mod settings;
