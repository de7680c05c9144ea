//! Connection state shared by the call sender and the membership watch: the identifier of the current connection, the
//! address and the backoff between attempts to connect.

use crate::backoff::Backoff;
use crate::effect::Effect;
use crate::identifiers::{RelayConnectionId, RelayLink};
use crate::step_context::StepContext;
use rushcourse_policy::interface::Ms;
use std::net::SocketAddr;
use std::time::Duration;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Bounds of the backoff between attempts to connect.
const INITIAL_DELAY: Duration = Duration::from_millis(10);
const MAX_DELAY: Duration = Duration::from_millis(400);
/// Delay before a request that the relay rejected, usually with `BUSY` because it is starting, is sent again.
pub(crate) const REJECTION_DELAY: Duration = Duration::from_millis(100);

pub(crate) struct RelayConnection {
    current: RelayConnectionId,
    /// Address for the next attempt to connect; an existing connection may use an earlier one.
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
            backoff: Backoff::new(INITIAL_DELAY, MAX_DELAY),
        }
    }

    /// Identifier of the latest connection, whether established, pending or closed; generation 0 before the first.
    pub(crate) fn current(&self) -> RelayConnectionId {
        self.current
    }

    /// Whether an input belongs to the latest connection rather than an earlier one.
    pub(crate) fn is_current(&self, connection: RelayConnectionId) -> bool {
        connection == self.current
    }

    /// Requests a new connection with the next generation; returns the deadline for establishing it.
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
