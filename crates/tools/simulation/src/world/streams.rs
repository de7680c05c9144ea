//! Discovery streams of the proxies.

use super::state::World;
use crate::proxy::Way;
use crate::script::CLASSES;
use rushcourse_director_state::Input;
use rushcourse_xds as xds;
use std::collections::BTreeMap;

impl World<'_> {
    /// A request of a proxy's discovery stream.
    pub(super) fn request(&self, k: usize, nonce: String, first: bool) -> xds::Request {
        let p = &self.script.proxies[k];
        let node = first.then(|| xds::Node {
            id: format!("relay-{}", p.number),
            zone: self.script.zones[p.zone].clone(),
            rate: Some(p.rate),
        });
        let names: Vec<String> = CLASSES.map(String::from).to_vec();
        let type_url = xds::CLUSTER_LOAD_ASSIGNMENT_TYPE_URL.to_string();
        let held = &self.proxies[k].streamed;
        if self.mode.way(k) == Way::Whole {
            let version = held.version.clone();
            return xds::Request::Discovery(xds::DiscoveryRequest {
                node,
                type_url,
                resource_names: names,
                version_info: version,
                response_nonce: nonce,
                error_detail: None,
            });
        }
        xds::Request::Delta(xds::DeltaDiscoveryRequest {
            node,
            type_url,
            resource_names_subscribe: if first { names } else { Vec::new() },
            initial_resource_versions: if first {
                held.versions.clone()
            } else {
                BTreeMap::new()
            },
            response_nonce: nonce,
            ..xds::DeltaDiscoveryRequest::default()
        })
    }

    /// A proxy opens its streams.
    pub(super) fn open(&mut self, k: usize) {
        let way = self.mode.way(k);
        let kind = if way == Way::Whole {
            xds::StreamKind::StateOfTheWorld
        } else {
            xds::StreamKind::Delta
        };
        let connection = xds::ConnectionId(1 + k as u64);
        let old = [self.proxies[k].ads, self.proxies[k].lrs];
        old.iter()
            .for_each(|stream| _ = self.streams.remove(stream));
        let (ads, lrs) = (
            xds::StreamId(self.last_stream + 1),
            xds::StreamId(self.last_stream + 2),
        );
        self.last_stream += 2;
        (self.proxies[k].ads, self.proxies[k].lrs) = (ads, lrs);
        self.streams.extend([(ads, k), (lrs, k)]);
        for (stream, kind) in [(ads, kind), (lrs, xds::StreamKind::LoadReporting)] {
            let peer = format!("proxy {k}");
            self.give(Input::Stream(xds::Input::StreamOpened {
                stream,
                connection,
                kind,
                peer,
            }));
        }
        let first = self.request(k, String::new(), true);
        self.give(Input::Stream(xds::Input::RequestReceived {
            stream: ads,
            request: first,
        }));
        let node = self.request(k, String::new(), true).node().cloned();
        let request = xds::Request::LoadStats(xds::LoadStatsRequest {
            node,
            cluster_stats: Vec::new(),
        });
        self.give(Input::Stream(xds::Input::RequestReceived {
            stream: lrs,
            request,
        }));
    }
}
