//! What a front hands to a director.

use super::hosts::{HostEntry, HostListKind, HostLoad};
use super::ids::{AckNumber, Channel, ClassId, HostId, Ms, ProxyId, ZoneId};

/// Something that happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// The list of hosts, or a change to it.
    HostsListed {
        /// What the entries cover.
        kind: HostListKind,
        /// Hosts as listed.
        entries: Vec<HostEntry>,
    },
    /// A proxy's stream is established.
    ProxyJoined {
        /// Who joined.
        proxy: ProxyId,
        /// Its zone.
        zone: ZoneId,
        /// Requests a second that it is said to bring.
        rate: f64,
        /// It holds nothing but the default table of its start.
        is_fresh: bool,
        /// The way it is reached from now on.
        channel: Channel,
    },
    /// A proxy's stream on a channel has ended; it may have joined by another one meanwhile.
    ProxyLeft {
        /// Who left.
        proxy: ProxyId,
        /// The channel of its stream.
        channel: Channel,
    },
    /// A proxy has applied the message of this number and all before it.
    Acknowledged {
        /// The number that the message asked to be acknowledged by.
        ack_number: AckNumber,
        /// Who applied it.
        proxy: ProxyId,
        /// Time from the order to its taking effect.
        elapsed: Ms,
        /// The channel of the acknowledgement.
        channel: Channel,
    },
    /// What proxies of a zone observed at a host.
    HostReported {
        /// The zone of the proxies.
        zone: ZoneId,
        /// Where their attempts went.
        host: HostId,
        /// Attempts.
        attempts: f64,
        /// Attempts that failed.
        failed: f64,
        /// Mean time of the successful ones.
        mean_latency: Ms,
        /// The span that the report covers.
        span: Ms,
        /// What the host reported itself.
        load: HostLoad,
    },
    /// What came to a proxy from its clients.
    TrafficReported {
        /// The proxy.
        proxy: ProxyId,
        /// The class of the requests.
        class: ClassId,
        /// Requests that came, rejected and repeated ones included.
        attempts: f64,
        /// Admitted requests that got no answer.
        failed: f64,
        /// The span that the report covers.
        span: Ms,
    },
    /// A health check that was ordered has ended.
    HealthChecked {
        /// The host.
        host: HostId,
        /// Time since it was sent.
        elapsed: Ms,
        /// Whether the host answered it.
        is_answered: bool,
        /// What the host reported with it.
        load: HostLoad,
    },
    /// A message of another director.
    PeerMessage {
        /// Its sender's number.
        from: usize,
        /// What it holds.
        bytes: Vec<u8>,
    },
    /// A timer that was started is due.
    TimerFired {
        /// The token that it was started with.
        token: String,
    },
    /// A proxy with a dedicated channel does not hold what this number and those after it asked for: it
    /// rejected that, or has not taken it yet.
    NotApplied {
        /// The proxy.
        proxy: ProxyId,
        /// The earliest number that it has not applied.
        ack_number: AckNumber,
        /// One more message leaves for it now.
        is_resent: bool,
    },
    /// The shared channel's call of this number, and all after it, are not known to be carried out: they go
    /// out again.
    CallUnconfirmed {
        /// The earliest number of which this holds.
        ack_number: AckNumber,
        /// It may have been carried out, so its messages may reach proxies once more.
        may_have_run: bool,
    },
}

impl Event {
    /// Whether it is news of the list of hosts.
    pub(crate) fn is_host_list(&self) -> bool {
        matches!(self, Event::HostsListed { .. })
    }

    /// Whether it says who is joined.
    pub(crate) fn is_membership(&self) -> bool {
        matches!(self, Event::ProxyJoined { .. } | Event::ProxyLeft { .. })
    }
}
