//! Discovery streams of the proxies.

use super::state::World;
use crate::proxy::Way;
use crate::script::CLASSES;
use rushcourse_director_state::Input;
use rushcourse_xds as xds;
use std::collections::BTreeMap;

impl World<'_> {
    /// A request of a proxy's discovery stream.
    pub(super) fn request(&self, k: usize, nonce: String, first: bool) -> xds::Said {
        let p = &self.script.proxies[k];
        let node = first.then(|| xds::Node {
            id: format!("relay-{}", p.number),
            zone: self.script.zones[p.zone].clone(),
            rate: Some(p.rate),
        });
        let names: Vec<String> = CLASSES.map(String::from).to_vec();
        let type_url = xds::TABLE_TYPE.to_string();
        let held = &self.proxies[k].streamed;
        if self.mode.way(k) == Way::Whole {
            let version = held.version.clone();
            return xds::Said::Whole(xds::Ask {
                node,
                type_url,
                names,
                version,
                nonce,
                error: None,
            });
        }
        xds::Said::Delta(xds::DeltaAsk {
            node,
            type_url,
            subscribe: if first { names } else { Vec::new() },
            initial: if first {
                held.versions.clone()
            } else {
                BTreeMap::new()
            },
            nonce,
            ..xds::DeltaAsk::default()
        })
    }

    /// A proxy opens its streams.
    pub(super) fn open(&mut self, k: usize) {
        let way = self.mode.way(k);
        let service = if way == Way::Whole {
            xds::Service::Whole
        } else {
            xds::Service::Delta
        };
        let connection = 1 + k as u64;
        let old = [self.proxies[k].ads, self.proxies[k].lrs];
        old.iter()
            .for_each(|stream| _ = self.streams.remove(stream));
        let (ads, lrs) = (self.last_stream + 1, self.last_stream + 2);
        self.last_stream += 2;
        (self.proxies[k].ads, self.proxies[k].lrs) = (ads, lrs);
        self.streams.extend([(ads, k), (lrs, k)]);
        for (stream, service) in [(ads, service), (lrs, xds::Service::Load)] {
            let peer = format!("proxy {k}");
            self.give(Input::Stream(xds::Input::Opened {
                stream,
                connection,
                service,
                peer,
            }));
        }
        let first = self.request(k, String::new(), true);
        self.give(Input::Stream(xds::Input::Said {
            stream: ads,
            said: first,
        }));
        let node = match self.request(k, String::new(), true) {
            xds::Said::Whole(ask) => ask.node,
            xds::Said::Delta(ask) => ask.node,
            xds::Said::Load(stats) => stats.node,
        };
        let said = xds::Said::Load(xds::LoadStats {
            node,
            clusters: Vec::new(),
        });
        self.give(Input::Stream(xds::Input::Said { stream: lrs, said }));
    }
}
