//! What the tests share: a session on a fake clock ([`harness`]) with a relay and a discovery that do as they are told, and
//! the platform's texts ([`platform`]). Each test binary uses a part of it.
#![allow(dead_code)]

pub mod discovery;
pub mod harness;
pub mod platform;
pub mod relay;
