//! What may be held at a time, derived from the limits of the configuration: the one place where they meet.
//!
//! Memory, in parts of the limit: messages that wait for the loop an eighth, messages of collectors that are not
//! complete a quarter, lists an eighth, calls that wait an eighth. The program itself, its model of 400 proxies
//! and 256 strangers with a small message each take 8 MB. Descriptors: a quarter stays for the director's own.

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

/// Descriptors of the director's own: log, signals, timers, listener, relay, discovery, probes; some to spare.
const OWN_SOCKETS: usize = 64;
/// More connections than this are never of use.
const PEERS_MOST: usize = 256;
const COLLECTORS_MOST: usize = 64;

impl Bounds {
    pub fn of(memory_mb: f64, sockets: usize) -> Bounds {
        let mb = if memory_mb.is_finite() { memory_mb.clamp(8.0, 1024.0) } else { 1024.0 };
        let kib = (mb * 1024.0) as usize;
        let own = OWN_SOCKETS.max(sockets / 4);
        let peers = sockets.saturating_sub(own).clamp(16, PEERS_MOST);
        // A message that is not complete takes up to 1 MiB.
        let collectors = (kib / 4 / 1024).clamp(4, COLLECTORS_MOST).min(peers / 2);
        Bounds { peers, collectors, waiting_kib: kib / 8, list: kib * 128, calls: kib * 128 }
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
            let bytes = b.waiting_kib * 1024 + b.collectors * (1 << 20) + b.list + b.calls + strangers;
            assert!((bytes as f64) < 0.8 * mb * 1024.0 * 1024.0, "{mb} MB: {bytes}");
        }
    }
}
