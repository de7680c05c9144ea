//! Stand-ins for the services around a director, used by the socket tests and the example. They implement the protocol
//! without the director's codecs, so that a codec error on either side makes a test fail. They generate no load.
//!
//! * [`relay`]: applies orders and sends notifications of proxies.
//! * [`discovery`]: serves the host list.
//! * [`host`]: responds to health checks.
//! * [`collector`]: sends reports to a director.
//! * [`scenario`]: the example, which uses all of them.
//! * [`wait`]: polls a condition with a timeout.

pub mod collector;
pub mod discovery;
pub mod host;
pub mod relay;
pub mod scenario;
pub mod wait;
