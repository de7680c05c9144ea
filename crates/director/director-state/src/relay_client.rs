//! Client of the relay, with one connection for calls and one for notifications.

use crate::call_sender::CallSender;
use crate::identifiers::{RelayConnectionId, RelayLink};
use crate::membership_watch::MembershipWatch;
use crate::step_context::StepContext;
use rushcourse_policy::interface::{AckNumber, Ms};
use std::net::SocketAddr;

pub(crate) struct RelayClient {
    pub(crate) calls: CallSender,
    pub(crate) watch: MembershipWatch,
}

impl RelayClient {
    /// `max_queued_call_bytes` bounds the orders of queued calls.
    pub(crate) fn new(relay: SocketAddr, max_queued_call_bytes: usize) -> RelayClient {
        RelayClient {
            calls: CallSender::new(relay, max_queued_call_bytes),
            watch: MembershipWatch::new(relay),
        }
    }

    /// Changes the relay's address. The call connection is replaced when no call is in flight, the watch when a new one is
    /// established.
    pub(crate) fn set_address(&mut self, relay: SocketAddr) {
        self.calls.set_address(relay);
        self.watch.set_address(relay);
    }

    pub(crate) fn on_connected(
        &mut self,
        context: &mut StepContext,
        connection: RelayConnectionId,
    ) {
        match connection.link {
            RelayLink::Calls => self.calls.on_connected(context, connection),
            RelayLink::Watch => self.watch.on_connected(context, connection),
        }
    }

    pub(crate) fn on_line(
        &mut self,
        context: &mut StepContext,
        connection: RelayConnectionId,
        line: &str,
        zones: &[String],
    ) {
        match connection.link {
            RelayLink::Calls => self.calls.on_line(context, connection, line),
            RelayLink::Watch => {
                self.watch.on_line(context, connection, line, zones);
                for ack_number in context.take_acknowledged() {
                    self.calls.on_acknowledged(context, ack_number);
                }
            }
        }
    }

    pub(crate) fn on_written(&mut self, context: &StepContext, connection: RelayConnectionId) {
        match connection.link {
            RelayLink::Calls => self.calls.on_written(context, connection),
            RelayLink::Watch => {}
        }
    }

    pub(crate) fn on_disconnected(
        &mut self,
        context: &mut StepContext,
        connection: RelayConnectionId,
        reason: &str,
    ) {
        match connection.link {
            RelayLink::Calls => self.calls.on_disconnected(context, connection, reason),
            RelayLink::Watch => self.watch.on_disconnected(context, connection, reason),
        }
    }

    /// Handles expired deadlines of both connections; returns the next deadline. `may_resend` is passed to
    /// [`CallSender::advance`].
    pub(crate) fn advance(
        &mut self,
        context: &mut StepContext,
        may_resend: impl Fn(AckNumber) -> bool,
    ) -> Option<Ms> {
        let calls = self.calls.advance(context, may_resend);
        let watch = self.watch.advance(context);
        calls.into_iter().chain(watch).reduce(f64::min)
    }
}
