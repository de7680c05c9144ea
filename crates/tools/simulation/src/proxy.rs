//! Stand-ins for proxies: what each holds, and when it came to hold it. They follow what they are sent exactly.

mod relay;
mod stream;
mod table;

pub use relay::{CallReach, PlatformRelay};
pub use stream::StreamTables;
pub use table::{Protocol, ProxyTable};
