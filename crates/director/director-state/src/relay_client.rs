//! The relay, over two connections: calls on one, notifications on the other.

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
    /// `max_call_bytes`: how much of calls may wait.
    pub(crate) fn new(relay: SocketAddr, max_call_bytes: usize) -> RelayClient {
        RelayClient {
            calls: CallSender::new(relay, max_call_bytes),
            watch: MembershipWatch::new(relay),
        }
    }

    /// The relay is elsewhere from now on. What stands is kept until its successor does.
    pub(crate) fn move_to(&mut self, relay: SocketAddr) {
        self.calls.move_to(relay);
        self.watch.move_to(relay);
    }

    pub(crate) fn connected(&mut self, context: &mut StepContext, connection: RelayConnectionId) {
        match connection.link {
            RelayLink::Calls => self.calls.connected(context, connection),
            RelayLink::Watch => self.watch.connected(context, connection),
        }
    }

    pub(crate) fn line_received(
        &mut self,
        context: &mut StepContext,
        connection: RelayConnectionId,
        line: &str,
        zones: &[String],
    ) {
        match connection.link {
            RelayLink::Calls => self.calls.line_received(context, connection, line),
            RelayLink::Watch => {
                self.watch.line_received(context, connection, line, zones);
                for ack_number in context.take_acknowledged() {
                    self.calls.acknowledged(context, ack_number);
                }
            }
        }
    }

    pub(crate) fn written(&mut self, context: &StepContext, connection: RelayConnectionId) {
        match connection.link {
            RelayLink::Calls => self.calls.written(context, connection),
            RelayLink::Watch => {}
        }
    }

    pub(crate) fn disconnected(
        &mut self,
        context: &mut StepContext,
        connection: RelayConnectionId,
        reason: &str,
    ) {
        match connection.link {
            RelayLink::Calls => self.calls.disconnected(context, connection, reason),
            RelayLink::Watch => self.watch.disconnected(context, connection, reason),
        }
    }

    /// Does what is due; returns when it wants to be called again. `may_repeat` is the policy's decision on a call.
    pub(crate) fn advance(
        &mut self,
        context: &mut StepContext,
        may_repeat: impl Fn(AckNumber) -> bool,
    ) -> Option<Ms> {
        let calls = self.calls.advance(context, may_repeat);
        let watch = self.watch.advance(context);
        calls.into_iter().chain(watch).reduce(f64::min)
    }
}
