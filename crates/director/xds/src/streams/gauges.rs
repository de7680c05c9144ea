//! Gauges of the streams for `/metrics`.

use super::open_streams::{OpenStreams, StreamRole};
use super::state::Streams;
use crate::discovery::DiscoveryStream;
use crate::interface::StreamKind;

impl OpenStreams {
    fn count_kind(&self, kind: StreamKind) -> usize {
        self.iter().filter(|(_, open)| open.kind == kind).count()
    }

    fn unidentified_count(&self) -> usize {
        self.iter()
            .filter(|(_, open)| open.is_unidentified())
            .count()
    }

    fn discovery_streams(&self) -> impl Iterator<Item = &DiscoveryStream> {
        self.iter().filter_map(|(_, open)| match &open.role {
            StreamRole::Discovery(_, discovery) => Some(&**discovery),
            _ => None,
        })
    }

    fn pending_response_count(&self) -> usize {
        self.discovery_streams()
            .map(DiscoveryStream::pending_count)
            .sum()
    }

    fn stalled_count(&self) -> usize {
        self.discovery_streams()
            .filter(|discovery| discovery.accepting_since().is_some())
            .count()
    }
}

/// Name, help text and value.
type Gauge = (&'static str, &'static str, usize);

impl Streams {
    /// Returns name, help text and value of each gauge.
    pub fn gauges(&self) -> Vec<(&'static str, &'static str, f64)> {
        self.kind_gauges()
            .into_iter()
            .chain(self.discovery_gauges())
            .chain(self.report_stream_gauges())
            .map(|(name, help, value)| (name, help, value as f64))
            .collect()
    }

    fn kind_gauges(&self) -> [Gauge; 4] {
        [
            (
                "streams_whole",
                "Streams of relays for tables, state of the world.",
                self.open_streams.count_kind(StreamKind::StateOfTheWorld),
            ),
            (
                "streams_delta",
                "Streams of relays for tables, incremental.",
                self.open_streams.count_kind(StreamKind::Delta),
            ),
            (
                "streams_load",
                "Streams of relays for load reports.",
                self.open_streams.count_kind(StreamKind::LoadReporting),
            ),
            (
                "streams_strange",
                "Streams that have not said who they are.",
                self.open_streams.unidentified_count(),
            ),
        ]
    }

    fn discovery_gauges(&self) -> [Gauge; 5] {
        [
            (
                "streams_joined",
                "Proxies that are joined by a stream.",
                self.registry.joined_count(),
            ),
            (
                "streams_unanswered",
                "Responses with tables that no answer has come to.",
                self.open_streams.pending_response_count(),
            ),
            (
                "streams_stalled",
                "Streams whose transport has not taken the last response.",
                self.open_streams.stalled_count(),
            ),
            (
                "streams_entries",
                "What is remembered of tables for streams.",
                self.cache.entry_count(),
            ),
            (
                "streams_lines_lost",
                "Lines left out of tables as their host had no address.",
                self.cache.omitted_endpoint_count() as usize,
            ),
        ]
    }

    fn report_stream_gauges(&self) -> [Gauge; 3] {
        [
            (
                "nodes_asked",
                "Hosts that are asked for their load.",
                self.report_streams.host_count(),
            ),
            (
                "nodes_live",
                "Hosts whose report stream stands.",
                self.report_streams.open_count(),
            ),
            (
                "nodes_beyond",
                "Hosts that are not asked as there are too many.",
                self.report_streams.hosts_over_limit(),
            ),
        ]
    }
}
