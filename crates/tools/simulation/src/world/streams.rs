//! Discovery streams of the proxies.

use super::state::World;
use crate::proxy::Protocol;
use crate::script::CLASSES;
use rushcourse_xds as xds;
use std::collections::BTreeMap;

impl World<'_> {
    /// The first request of a discovery stream, which identifies the proxy and the versions of its tables.
    fn first_request(&self, proxy: usize) -> xds::Request {
        let (node, names) = (Some(self.node(proxy)), class_names());
        let versions = self.proxies[proxy].stream_tables.versions.clone();
        self.discovery_request(proxy, node, String::new(), names, versions)
    }

    /// A request that acknowledges the response with this nonce.
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

    /// Builds a request of the proxy's protocol. A state-of-the-world request always lists all classes; a delta request
    /// only subscribes to `resource_names_subscribe`.
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

    /// Opens a proxy's discovery stream and load report stream, and sends the first request on each.
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
            self.handle_stream_input(xds::Input::StreamOpened {
                stream,
                connection: xds::ConnectionId(1 + proxy as u64),
                kind,
                peer: format!("proxy {proxy}"),
            });
        }
        let request = self.first_request(proxy);
        self.handle_stream_input(xds::Input::RequestReceived {
            stream: discovery,
            request,
        });
        let request = xds::Request::LoadStats(xds::LoadStatsRequest {
            node: Some(self.node(proxy)),
            cluster_stats: Vec::new(),
        });
        self.handle_stream_input(xds::Input::RequestReceived {
            stream: reports,
            request,
        });
    }

    /// Allocates a discovery and a load report stream for a proxy, in place of its former streams.
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
