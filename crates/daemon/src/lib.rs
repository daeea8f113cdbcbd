//! The entry daemon of wigeonhinge.
//!
//! [`Entry::spawn`] starts an entry from its [`Settings`] and returns a handle to it.
//! An entry has two parts, which exchange messages:
//!
//! - [`Daemon`], the request path: `listen` accepts connections, `flow` handles one
//!   request, [`dispatch`] selects its upstream, `exchange` sends it there.
//! - [`plane`], the control plane: [`watch`] and [`peer`] distribute the
//!   configuration, [`session`] maintains the session and the roles of the entry,
//!   [`controllers`] implement the roles, [`admin`] serves operators, [`platform`]
//!   is the client of the platform.

pub mod admin;
pub mod controllers;
pub mod daemon;
pub mod dispatch;
pub mod entry;
pub mod peer;
pub mod plane;
pub mod platform;
pub mod report;
pub mod session;
pub mod settings;
pub mod site;
pub mod watch;

mod exchange;
mod flow;
mod listen;
mod stream;

pub use crate::daemon::Daemon;
pub use crate::daemon::Source;
pub use crate::dispatch::Control;
pub use crate::entry::Entry;
pub use crate::entry::Setup;
pub use crate::report::Report;
pub use crate::settings::Settings;
