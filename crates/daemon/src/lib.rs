//! The entry daemon of wigeonhinge.
//!
//! [`Daemon::spawn`](daemon::Daemon::spawn) starts an entry from its
//! [`Settings`](settings::Settings) and returns a running handle. Callers'
//! requests go through `listen`, `flow`, `dispatch` and `exchange`; the control
//! plane reaches the dispatch thread through [`Control`](dispatch::Control) and
//! the platform through [`platform`].

pub mod admin;
pub mod control;
pub mod controllers;
pub mod daemon;
pub mod dispatch;
pub mod entry;
pub mod peer;
pub mod plane;
pub mod platform;
pub mod report;
pub mod settings;
pub mod watch;

mod exchange;
mod flow;
mod listen;

pub use crate::daemon::Daemon;
pub use crate::daemon::Source;
pub use crate::dispatch::Control;
pub use crate::entry::Entry;
pub use crate::entry::Setup;
pub use crate::report::Report;
pub use crate::settings::Settings;
