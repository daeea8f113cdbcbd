//! The entry daemon.

pub mod admin;
pub mod control;
pub mod peer;
pub mod plane;
pub mod platform;
pub mod watch;
