//! Shared test support: a session with a fake clock, relay and discovery service ([`harness`]), and sample settings and lists
//! ([`platform`]). Each test binary uses a part of it.
#![allow(dead_code)]

pub mod discovery;
pub mod harness;
pub mod platform;
pub mod relay;
