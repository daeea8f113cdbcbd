//! The entry daemon of wigeonhinge.
//!
//! [`Entry::spawn`] starts a whole entry from its [`Settings`] and returns a
//! running handle. It joins two halves by messages:
//!
//! - [`Daemon`], the request path: `listen` accepts, `flow` carries one request
//!   from accept to answer, [`dispatch`] decides, `exchange` talks to upstreams.
//! - [`plane`], the control plane: [`watch`] and [`peer`] spread the
//!   configuration, [`session`] holds the session lease and the roles, [`controllers`] drive
//!   the roles, [`admin`] answers operators, [`platform`] reaches the platform.

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
