//! Discovery streams of the proxies.

use super::state::World;
use crate::proxy::Protocol;
use crate::script::CLASSES;
use rushcourse_xds as xds;
use std::collections::BTreeMap;

impl World<'_> {
    /// The first request of a proxy's discovery stream: it names the proxy and what it holds.
    fn first_request(&self, proxy: usize) -> xds::Request {
        let (node, names) = (Some(self.node(proxy)), class_names());
        let versions = self.proxies[proxy].stream_tables.versions.clone();
        self.discovery_request(proxy, node, String::new(), names, versions)
    }

    /// A later request, which acknowledges a response.
    pub(super) fn later_request(&self, proxy: usize, nonce: String) -> xds::Request {
        self.discovery_request(proxy, None, nonce, Vec::new(), BTreeMap::new())
    }

    fn node(&self, proxy: usize) -> xds::Node {
        let spec = &self.script.proxies[proxy];
        xds::Node {
            id: format!("relay-{}", spec.number),
            zone: self.script.zones[spec.zone].clone(),
            rate: Some(spec.rate),
        }
    }

    /// A request in the stream's own form. The state of the world is asked for by all names each time; a stream of
    /// changes subscribes to names once.
    fn discovery_request(
        &self,
        proxy: usize,
        node: Option<xds::Node>,
        response_nonce: String,
        resource_names_subscribe: Vec<String>,
        initial_resource_versions: BTreeMap<String, String>,
    ) -> xds::Request {
        let type_url = xds::CLUSTER_LOAD_ASSIGNMENT_TYPE_URL.to_string();
        if self.mode.protocol(proxy) == Protocol::StateOfTheWorld {
            return xds::Request::Discovery(xds::DiscoveryRequest {
                node,
                type_url,
                resource_names: class_names(),
                version_info: self.proxies[proxy].stream_tables.version.clone(),
                response_nonce,
                error_detail: None,
            });
        }
        xds::Request::Delta(xds::DeltaDiscoveryRequest {
            node,
            type_url,
            resource_names_subscribe,
            initial_resource_versions,
            response_nonce,
            ..xds::DeltaDiscoveryRequest::default()
        })
    }

    /// A proxy opens its streams: one of tables, one of load reports.
    pub(super) fn open_streams(&mut self, proxy: usize) {
        let discovery_kind = match self.mode.protocol(proxy) {
            Protocol::StateOfTheWorld => xds::StreamKind::StateOfTheWorld,
            _ => xds::StreamKind::Delta,
        };
        let [discovery, reports] = self.new_streams(proxy);
        for (stream, kind) in [
            (discovery, discovery_kind),
            (reports, xds::StreamKind::LoadReporting),
        ] {
            self.give_stream(xds::Input::StreamOpened {
                stream,
                connection: xds::ConnectionId(1 + proxy as u64),
                kind,
                peer: format!("proxy {proxy}"),
            });
        }
        let request = self.first_request(proxy);
        self.give_stream(xds::Input::RequestReceived {
            stream: discovery,
            request,
        });
        let request = xds::Request::LoadStats(xds::LoadStatsRequest {
            node: Some(self.node(proxy)),
            cluster_stats: Vec::new(),
        });
        self.give_stream(xds::Input::RequestReceived {
            stream: reports,
            request,
        });
    }

    /// Two new streams in place of those that a proxy had.
    fn new_streams(&mut self, proxy: usize) -> [xds::StreamId; 2] {
        let state = &mut self.proxies[proxy];
        self.streams.proxies.remove(&state.discovery_stream);
        self.streams.proxies.remove(&state.report_stream);
        let last = self.streams.last_stream;
        let streams = [xds::StreamId(last + 1), xds::StreamId(last + 2)];
        self.streams.last_stream += 2;
        [state.discovery_stream, state.report_stream] = streams;
        self.streams
            .proxies
            .extend(streams.map(|stream| (stream, proxy)));
        streams
    }
}

fn class_names() -> Vec<String> {
    CLASSES.map(String::from).to_vec()
}
