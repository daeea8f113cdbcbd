//! Message, document and settings types of wigeonhinge.
//!
//! All types are generated from the files in `proto/`. The generated code is
//! committed, so that a build needs no code generator. To change a type, edit its
//! schema and run `UPDATE_SCHEMA=1 cargo test -p wigeonhinge-schema`.
//!
//! Store documents, settings and fleet files are serialized as JSON with serde.
//! Messages between daemons use the protobuf encoding.

mod names;

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
