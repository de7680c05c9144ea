//! Fake discovery service with scripted responses.

use rushcourse_director_state::{FetchId, Input};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

/// A request that the session sent to the discovery service.
#[derive(Clone, Debug)]
pub struct Fetch {
    pub request: FetchId,
    pub address: SocketAddr,
    pub path: String,
}

/// Fake discovery service that records all requests of the session.
pub struct FakeDiscovery {
    /// Whether requests for the complete list are answered at once. Watches are answered by the test only.
    pub is_reachable: bool,
    /// Encoded response to requests for the complete list.
    pub list: String,
    /// All requests in the order of sending.
    pub requests: Vec<Fetch>,
}

impl FakeDiscovery {
    pub(super) fn new(list: String) -> FakeDiscovery {
        FakeDiscovery {
            is_reachable: true,
            list,
            requests: Vec::new(),
        }
    }

    /// Returns the latest request, which the session must have sent.
    pub fn latest(&self) -> &Fetch {
        self.requests.last().expect("a request")
    }

    /// Number of requests for the complete list.
    pub fn full_list_count(&self) -> usize {
        self.requests
            .iter()
            .filter(|fetch| fetch.path == "/v1/endpoints")
            .count()
    }

    pub(super) fn fetch(&mut self, fetch: Fetch, timeout: Duration, inputs: &mut VecDeque<Input>) {
        assert!(
            timeout > Duration::ZERO && timeout < Duration::from_secs(10),
            "every request has a timeout below ten seconds"
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
