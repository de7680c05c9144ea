//! Events that a front passes to a director.

use super::hosts::{HostEntry, HostListKind, HostLoad};
use super::ids::{AckNumber, Channel, ClassId, HostId, Ms, ProxyId, ZoneId};

/// An input of `Director::handle`.
#[derive(Clone, Debug)]
pub enum Event {
    /// The list of hosts, or a change to it.
    HostsListed {
        /// Whether `entries` is complete or a change.
        kind: HostListKind,
        /// Listed hosts: all of them, or only the changed ones, depending on `kind`.
        entries: Vec<HostEntry>,
    },
    /// A proxy's stream is established.
    ProxyJoined {
        /// Number of the proxy. If it has joined before, this event replaces its registration.
        proxy: ProxyId,
        /// Zone in which the proxy runs.
        zone: ZoneId,
        /// Expected request rate of the proxy, in requests per second.
        rate: f64,
        /// Whether the proxy holds only the default table that it starts with.
        is_fresh: bool,
        /// Channel that reaches the proxy from now on.
        channel: Channel,
    },
    /// A proxy's stream on a channel has ended. Ignored if it has since joined on another channel.
    ProxyLeft {
        /// Proxy whose stream ended.
        proxy: ProxyId,
        /// Channel of the stream that ended.
        channel: Channel,
    },
    /// A proxy has applied a message and all earlier ones.
    Acknowledged {
        /// Number from the `Action::RequestAck` of the message's batch.
        ack_number: AckNumber,
        /// Proxy that applied the message.
        proxy: ProxyId,
        /// Time from sending the batch until the proxy applied it.
        elapsed: Ms,
        /// Channel of the acknowledgement. Ignored unless it is the proxy's current one.
        channel: Channel,
    },
    /// Proxies of a zone reported the outcome of their attempts at a host.
    HostReported {
        /// Zone of the reporting proxies.
        zone: ZoneId,
        /// Host to which the attempts were sent.
        host: HostId,
        /// Number of attempts in the reported period.
        attempts: f64,
        /// Number of failed attempts; included in `attempts`.
        failed: f64,
        /// Mean latency of the successful attempts.
        mean_latency: Ms,
        /// Length of the reported period.
        span: Ms,
        /// Load that the host reported about itself.
        load: HostLoad,
    },
    /// A proxy reported the client requests of a class.
    TrafficReported {
        /// Proxy that received the requests.
        proxy: ProxyId,
        /// Class of the requests.
        class: ClassId,
        /// Number of received requests, including rejected and retried ones.
        attempts: f64,
        /// Number of admitted requests that got no response.
        failed: f64,
        /// Length of the reported period.
        span: Ms,
    },
    /// A health check that `Action::CheckHealth` started has ended.
    HealthChecked {
        /// Host that was checked.
        host: HostId,
        /// Time since the check was sent.
        elapsed: Ms,
        /// Whether the host responded.
        is_answered: bool,
        /// Load that the host reported in its response.
        load: HostLoad,
    },
    /// A message that another director sent with `Action::BroadcastToPeers`.
    PeerMessage {
        /// Index of the sending director, as in `FleetSettings::own_index`.
        from: usize,
        /// Payload of the message.
        bytes: Vec<u8>,
    },
    /// A timer is due.
    TimerFired {
        /// Token from the `Action::StartTimer`.
        token: String,
    },
    /// A proxy on a dedicated channel has rejected or not yet applied a batch, and so all later ones.
    NotApplied {
        /// Proxy that has not applied the batch.
        proxy: ProxyId,
        /// Acknowledgement number of the earliest batch that was not applied.
        ack_number: AckNumber,
        /// Whether another message is sent to the proxy now; it counts against the message cap.
        is_resent: bool,
    },
    /// The outcome of a call on the shared channel is unknown. This call and all later ones are resent.
    CallUnconfirmed {
        /// Acknowledgement number of the earliest unconfirmed call.
        ack_number: AckNumber,
        /// Whether the call may have run, so that its messages may reach proxies a second time.
        may_have_run: bool,
    },
}

impl Event {
    pub(crate) fn is_host_list(&self) -> bool {
        matches!(self, Event::HostsListed { .. })
    }

    pub(crate) fn is_membership(&self) -> bool {
        matches!(self, Event::ProxyJoined { .. } | Event::ProxyLeft { .. })
    }
}
