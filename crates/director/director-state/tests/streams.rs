//! The session with both channels: a proxy is reached the newest way, and what one channel does is no news of another.

mod common;

use common::*;
use rushcourse_director_state::{Input, Link};
use rushcourse_xds::{
    CLUSTER_LOAD_ASSIGNMENT_TYPE_URL, ConnectionId, DiscoveryRequest, Effect, Node, Request,
    Response, StatusCode, StreamId, StreamKind,
};

/// A proxy of each zone at the relay, with streams served beside.
fn both() -> Stand {
    let mut stand = Stand::serving(options(), Some(rules()));
    stand.rules = Some(rules());
    stand.start();
    stand.standing = vec![
        "* joined 1 east 5.0 1".into(),
        "* joined 2 west 5.0 1".into(),
    ];
    let standing = stand.standing.clone();
    standing.iter().for_each(|line| stand.news(line));
    stand.pass(300.0);
    stand.applied(&[1, 2]);
    // From here on they hold what they were ordered there.
    stand.standing = vec![
        "* joined 1 east 5.0 0".into(),
        "* joined 2 west 5.0 0".into(),
    ];
    stand.pass(300.0);
    stand
}

/// A relay opens a stream, says who it is, and asks for a class.
fn opens(stand: &mut Stand, stream: u64, number: u32) {
    let (kind, peer) = (StreamKind::StateOfTheWorld, "127.0.0.1:9".to_string());
    stand.give(Input::Stream(rushcourse_xds::Input::StreamOpened {
        stream: StreamId(stream),
        connection: ConnectionId(stream),
        kind,
        peer,
    }));
    let node = Node {
        id: format!("relay-{number}"),
        zone: "east".into(),
        rate: Some(5.0),
    };
    let request = DiscoveryRequest {
        node: Some(node),
        type_url: CLUSTER_LOAD_ASSIGNMENT_TYPE_URL.into(),
        resource_names: vec!["look".into()],
        ..DiscoveryRequest::default()
    };
    stand.give(Input::Stream(rushcourse_xds::Input::RequestReceived {
        stream: StreamId(stream),
        request: Request::Discovery(request),
    }));
}

/// The transport takes what was handed to it.
fn takes(stand: &mut Stand, stream: u64) {
    stand.give(Input::Stream(rushcourse_xds::Input::ResponseAccepted {
        stream: StreamId(stream),
    }));
}

/// Responses to a stream since the last look: hosts that may be picked, by response.
fn sent(stand: &mut Stand, to: u64) -> Vec<Vec<String>> {
    let mut all = Vec::new();
    for effect in std::mem::take(&mut stand.streamed) {
        if let Effect::SendResponse {
            stream,
            response: Response::Discovery(response),
        } = effect
            && stream == StreamId(to)
        {
            let lines = response
                .resources
                .iter()
                .flat_map(|r| &r.assignment.localities)
                .flat_map(|l| &l.endpoints);
            all.push(
                lines
                    .filter(|e| !e.draining)
                    .map(|e| e.host.to_string())
                    .collect(),
            );
        }
    }
    all
}

fn binds(stand: &Stand, from: usize, proxy: u32) -> usize {
    let word = format!("bind,{proxy},");
    stand
        .orders(from)
        .iter()
        .filter(|o| o.starts_with(&word))
        .count()
}

#[test]
fn who_joins_by_a_stream_is_served_there_and_no_more_by_the_relay() {
    let mut stand = both();
    opens(&mut stand, 7, 1);
    stand.pass(300.0);
    assert_eq!(sent(&mut stand, 7).len(), 1, "its tables");
    takes(&mut stand, 7);
    let from = stand.calls.len();
    stand.drain(6, "a1", "east");
    stand.pass(20.0);
    assert_eq!(
        sent(&mut stand, 7),
        [["a2", "b1", "b2"]],
        "the drain, at once"
    );
    stand.pass(3000.0);
    assert_eq!(
        binds(&stand, from, 1),
        0,
        "the relay hears nothing more of it"
    );
    // That the relay's old stream goes is no news of it.
    stand.news("* left 1");
    stand.pass(300.0);
    assert_eq!(stand.gauge("streams_joined"), 1.0);
    takes(&mut stand, 7);
    stand.drain(7, "b1", "west");
    stand.pass(20.0);
    assert_eq!(
        sent(&mut stand, 7).last().expect("served on"),
        &["a2", "b2"]
    );
}

#[test]
fn who_leaves_a_stream_and_still_stands_at_the_relay_is_bound_there_anew() {
    let mut stand = both();
    opens(&mut stand, 7, 1);
    stand.pass(300.0);
    let from = stand.calls.len();
    stand.give(Input::Stream(rushcourse_xds::Input::StreamClosed {
        stream: StreamId(7),
        reason: "reset".into(),
    }));
    stand.pass(300.0);
    assert_eq!(binds(&stand, from, 1), 1, "{:?}", stand.orders(from));
}

#[test]
fn a_standing_set_that_is_told_again_takes_no_proxy_from_its_stream() {
    let mut stand = both();
    opens(&mut stand, 7, 1);
    stand.pass(1000.0);
    let from = stand.calls.len();
    // The news break for a while; the relay still lists proxy 1.
    stand.relay_up = false;
    stand.down(Link::News);
    stand.pass(2000.0);
    stand.relay_up = true;
    stand.pass(2000.0);
    assert_eq!(stand.gauge("streams_joined"), 1.0);
    assert_eq!(
        binds(&stand, from, 1),
        0,
        "it is its stream's: {:?}",
        stand.orders(from)
    );
    assert_eq!(
        binds(&stand, from, 2),
        1,
        "who may have left unseen is bound anew"
    );
}

#[test]
fn who_joins_at_the_relay_anew_is_its_and_the_stream_ends() {
    let mut stand = both();
    opens(&mut stand, 7, 1);
    stand.pass(300.0);
    stand.news("* left 1");
    stand.news("* joined 1 east 5.0 1");
    let from = stand.calls.len();
    stand.pass(300.0);
    let ended = |e: &Effect| {
        matches!(
            e,
            Effect::EndStream {
                stream: StreamId(7),
                status: StatusCode::Aborted,
                ..
            }
        )
    };
    assert!(stand.streamed.iter().any(ended), "{:?}", stand.streamed);
    assert_eq!(
        (stand.gauge("streams_joined"), binds(&stand, from, 1)),
        (0.0, 1)
    );
}

#[test]
fn a_reload_opens_streams_and_ends_them() {
    let mut stand = Stand::usual();
    opens(&mut stand, 7, 3);
    assert!(stand.streamed.is_empty(), "nobody serves streams");
    stand.rules = Some(rules());
    stand.give(Input::Reload);
    opens(&mut stand, 8, 3);
    stand.pass(300.0);
    assert_eq!(sent(&mut stand, 8).len(), 1);
    stand.rules = None;
    stand.give(Input::Reload);
    stand.pass(300.0);
    assert!(stand.streamed.iter().any(|e| matches!(
        e,
        Effect::EndStream {
            stream: StreamId(8),
            ..
        }
    )));
    let from = stand.calls.len();
    stand.news("* joined 3 east 5.0 1");
    stand.pass(300.0);
    assert_eq!(binds(&stand, from, 3), 1, "by the relay alone from now on");
}

#[test]
fn told_to_end_it_ends_all_streams_with_a_word() {
    let mut stand = both();
    opens(&mut stand, 7, 1);
    stand.give(Input::Stop);
    let ended = |e: &Effect| {
        matches!(
            e,
            Effect::EndStream {
                stream: StreamId(7),
                status: StatusCode::Unavailable,
                ..
            }
        )
    };
    assert!(stand.exit && stand.streamed.iter().any(ended));
}
