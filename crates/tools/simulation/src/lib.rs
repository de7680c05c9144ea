//! One suite, two protocols: seeded scripts are played on a fake clock against a director's session, with proxies that
//! speak the platform's protocol, discovery streams of either kind, or a mix. A checker that sees only what proxies
//! hold, and when, looks at the five rules; tables must be the same whichever way they came.

pub mod check;
pub mod cost;
pub mod prove;
pub mod proxy;
pub mod script;
pub mod world;
