//! The operators' command of wigeonhinge.

pub mod measure;
pub mod owner;
