//! What may be held at a time, derived from the limits of the configuration: the one place where they meet.
//!
//! Memory, in parts of the limit: messages that wait for the loop an eighth, messages of collectors that are not
//! complete a quarter, lists an eighth, calls that wait an eighth. The program itself, its model of 400 proxies
//! and 256 strangers with a small message each take 8 MB. Descriptors: a quarter stays for the director's own.
//!
//! With a gRPC front, connections of relays take a quarter of the memory, messages of collectors an eighth, and peers
//! at the director's own address are fewer: what descriptors are left go to relays, and a quarter of them to hosts.

/// The limits of a director's process.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Connections at the director's address, and those of them that may have joined.
    pub peers: usize,
    pub collectors: usize,
    /// KiB of peers' messages that are being read or wait for the loop.
    pub waiting_kib: usize,
    /// Bytes of a list of discovery.
    pub list: usize,
    /// Bytes of calls that wait.
    pub calls: usize,
}

/// What a gRPC front may hold beside that.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StreamBounds {
    /// Connections of relays, streams on them, and those of these that have not said who they are.
    pub connections: usize,
    pub streams: usize,
    pub strangers: usize,
    /// Hosts that are asked for their load.
    pub nodes: usize,
    /// Bytes of a relay's message.
    pub message: usize,
}

/// Descriptors of the director's own: log, signals, timers, listener, relay, discovery, probes; some to spare.
const OWN_SOCKETS: usize = 64;
/// More connections than this are never of use.
const PEERS_MOST: usize = 256;
const COLLECTORS_MOST: usize = 64;
/// Peers at the director's own address where relays come by gRPC.
const PEERS_BESIDE: usize = 64;
/// KiB of a relay's message: a report on 30 hosts in four classes takes 16.
const MESSAGE_KIB: usize = 64;
/// KiB that a connection takes at most: its window, a message in the making, responses, and what HTTP/2 keeps.
const CONNECTION_KIB: usize = 64 + MESSAGE_KIB + 32;
/// Streams to a connection: tables, loads, and their successors while a relay changes over.
const STREAMS_EACH: usize = 4;
const STRANGERS_MOST: usize = 256;
/// MB of memory beyond which nothing grows any more.
const MEMORY_MOST_MB: f64 = 16_384.0;

impl Bounds {
    pub fn of(memory_mb: f64, sockets: usize) -> Bounds {
        let mb = if memory_mb.is_finite() {
            memory_mb.clamp(8.0, 1024.0)
        } else {
            1024.0
        };
        let kib = (mb * 1024.0) as usize;
        let own = OWN_SOCKETS.max(sockets / 4);
        let peers = sockets.saturating_sub(own).clamp(16, PEERS_MOST);
        // A message that is not complete takes up to 1 MiB.
        let collectors = (kib / 4 / 1024).clamp(4, COLLECTORS_MOST).min(peers / 2);
        Bounds {
            peers,
            collectors,
            waiting_kib: kib / 8,
            list: kib * 128,
            calls: kib * 128,
        }
    }

    /// The same with a gRPC front beside; `most` is what an operator allows of streams, `asks` whether hosts are
    /// asked for their load.
    pub fn with_streams(
        memory_mb: f64,
        sockets: usize,
        most: Option<usize>,
        asks: bool,
    ) -> (Bounds, StreamBounds) {
        let all = Bounds::of(memory_mb, sockets);
        // What relays may take follows the whole limit: an install of thousands has it.
        let mb = if memory_mb.is_finite() {
            memory_mb.clamp(8.0, MEMORY_MOST_MB)
        } else {
            1024.0
        };
        let kib = (mb * 1024.0) as usize;
        let peers = all.peers.min(PEERS_BESIDE).min(sockets / 4).max(8);
        let collectors = (all.waiting_kib / 1024)
            .clamp(4, COLLECTORS_MOST)
            .min(peers / 2);
        let left = sockets.saturating_sub(OWN_SOCKETS.max(sockets / 4) + peers);
        let nodes = if asks { left / 4 } else { 0 };
        let connections = (kib / 4 / CONNECTION_KIB).min(left - nodes).max(4);
        let streams = (STREAMS_EACH * connections).min(most.unwrap_or(usize::MAX));
        let strangers = (streams / 4).clamp(4, STRANGERS_MOST);
        let message = MESSAGE_KIB * 1024;
        (
            Bounds {
                peers,
                collectors,
                ..all
            },
            StreamBounds {
                connections,
                streams,
                strangers,
                nodes,
                message,
            },
        )
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn all_together_stay_within_the_limits() {
        for (mb, sockets) in [(32.0, 256), (48.0, 384), (192.0, 1024), (2048.0, 65_536)] {
            let b = Bounds::of(mb, sockets);
            assert!(b.peers + OWN_SOCKETS <= sockets, "{b:?}");
            assert!(b.collectors >= 8 && b.collectors < b.peers, "{b:?}");
            let strangers = b.peers * 16 * 1024;
            let bytes =
                b.waiting_kib * 1024 + b.collectors * (1 << 20) + b.list + b.calls + strangers;
            assert!(
                (bytes as f64) < 0.8 * mb * 1024.0 * 1024.0,
                "{mb} MB: {bytes}"
            );
        }
    }

    #[test]
    fn with_streams_all_together_stay_within_the_limits_too() {
        for (mb, sockets) in [(32.0, 256), (48.0, 384), (192.0, 1024), (2048.0, 65_536)] {
            for asks in [false, true] {
                let (b, s) = Bounds::with_streams(mb, sockets, None, asks);
                assert!(
                    b.peers + s.connections + s.nodes + OWN_SOCKETS <= sockets,
                    "{b:?} {s:?}"
                );
                assert!(
                    b.collectors >= 4 && s.connections >= 40 && (s.nodes >= 16) == asks,
                    "{b:?} {s:?}"
                );
                let own = b.waiting_kib * 1024
                    + b.collectors * (1 << 20)
                    + b.list
                    + b.calls
                    + b.peers * 16 * 1024;
                let bytes = own + s.connections * CONNECTION_KIB * 1024 + s.nodes * 32 * 1024;
                assert!(
                    (bytes as f64) < 0.9 * mb * 1024.0 * 1024.0,
                    "{mb} MB: {bytes}"
                );
            }
        }
        let (_, few) = Bounds::with_streams(192.0, 1024, Some(10), false);
        assert_eq!(few.streams, 10);
    }
}
