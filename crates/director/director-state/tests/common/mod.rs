//! What the tests share: a session on a fake clock ([`harness`]) and the platform's texts ([`platform`]). Each test binary
//! uses a part of it.
#![allow(dead_code)]

pub mod harness;
pub mod platform;
