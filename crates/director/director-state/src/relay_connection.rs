//! What calls and notifications have in common: one connection to the relay at a time, told from earlier ones by its
//! generation, and delays between attempts to connect.

use crate::backoff::Backoff;
use crate::effect::Effect;
use crate::identifiers::{RelayConnectionId, RelayLink};
use crate::step_context::StepContext;
use rushcourse_policy::interface::Ms;
use std::net::SocketAddr;
use std::time::Duration;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// First and longest delay between attempts to connect.
const FIRST_DELAY: Duration = Duration::from_millis(10);
const MAX_DELAY: Duration = Duration::from_millis(400);
/// How long to wait after the relay rejected something with `BUSY`, as its run has not begun.
pub(crate) const BUSY_DELAY: Duration = Duration::from_millis(100);

pub(crate) struct RelayConnection {
    current: RelayConnectionId,
    /// Where the relay is; holds from the next connection on.
    pub(crate) address: SocketAddr,
    pub(crate) backoff: Backoff,
}

impl RelayConnection {
    pub(crate) fn new(link: RelayLink, address: SocketAddr) -> RelayConnection {
        RelayConnection {
            current: RelayConnectionId {
                link,
                generation: 0,
            },
            address,
            backoff: Backoff::new(FIRST_DELAY, MAX_DELAY),
        }
    }

    /// The connection that stands or is being established.
    pub(crate) fn current(&self) -> RelayConnectionId {
        self.current
    }

    /// Whether something belongs to the connection that stands or is being established, not to an earlier one.
    pub(crate) fn is_current(&self, connection: RelayConnectionId) -> bool {
        connection == self.current
    }

    /// Connects anew; returns the moment until which that may take.
    pub(crate) fn connect(&mut self, context: &mut StepContext) -> Ms {
        self.current.generation += 1;
        context.request(Effect::ConnectRelay {
            connection: self.current,
            address: self.address,
        });
        context.after(CONNECT_TIMEOUT)
    }

    pub(crate) fn send(&self, context: &mut StepContext, line: String) {
        context.request(Effect::SendRelay {
            connection: self.current,
            line,
        });
    }

    pub(crate) fn disconnect(&self, context: &mut StepContext) {
        context.request(Effect::DisconnectRelay {
            connection: self.current,
        });
    }
}
