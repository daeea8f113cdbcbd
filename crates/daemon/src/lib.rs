//! The entry daemon.

pub mod platform;
