//! A discovery that does as it is told.

use rushcourse_director_state::{FetchId, Input};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

/// A request to discovery.
#[derive(Clone, Debug)]
pub struct Fetch {
    pub request: FetchId,
    pub address: SocketAddr,
    pub path: String,
}

/// Discovery, and what the session asked it.
pub struct DiscoveryStandIn {
    /// Requests for the complete list are answered at once; without, none is.
    pub is_reachable: bool,
    /// The complete list.
    pub list: String,
    /// All requests, the latest last.
    pub requests: Vec<Fetch>,
}

impl DiscoveryStandIn {
    /// A discovery with this complete list.
    pub(super) fn new(list: String) -> DiscoveryStandIn {
        DiscoveryStandIn {
            is_reachable: true,
            list,
            requests: Vec::new(),
        }
    }

    /// The latest request.
    pub fn latest(&self) -> &Fetch {
        self.requests.last().expect("a request")
    }

    /// How often the complete list was asked for.
    pub fn full_list_count(&self) -> usize {
        self.requests
            .iter()
            .filter(|fetch| fetch.path == "/v1/endpoints")
            .count()
    }

    pub(super) fn fetch(&mut self, fetch: Fetch, timeout: Duration, inputs: &mut VecDeque<Input>) {
        assert!(
            timeout > Duration::ZERO && timeout < Duration::from_secs(10),
            "a time-out for every request"
        );
        if self.is_reachable && !fetch.path.contains('?') {
            inputs.push_back(Input::EndpointsFetched {
                request: fetch.request,
                body: self.list.clone().into(),
            });
        }
        self.requests.push(fetch);
    }
}
