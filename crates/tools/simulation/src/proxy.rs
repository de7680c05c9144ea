//! Tables of simulated proxies, as the platform's relay or a discovery stream delivers them.

mod relay;
mod stream;
mod table;

pub use relay::{CallRecipients, PlatformRelay};
pub use stream::StreamTables;
pub use table::{Protocol, ProxyTable};
