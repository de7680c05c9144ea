//! Encoding and parsing of the relay's lines.

use rushcourse_director_protocol::relay::{self, Notification, Order, Reply};
use rushcourse_policy::interface::{Action, Channel, FIRST_DEDICATED_TABLE, RetryPolicy};

fn classes() -> Vec<String> {
    ["lookup", "basket", "pay"].map(String::from).to_vec()
}

fn encoded(action: &Action) -> Option<String> {
    Order::encode(action, &classes()).map(|order| order.to_string())
}

fn set_endpoint(weight: f64) -> Action {
    Action::SetEndpoint {
        table: 4,
        host: "s-5be2a07c".into(),
        weight,
    }
}

fn bind(classes: u32) -> Action {
    Action::BindProxy {
        proxy: 17,
        table: 4,
        classes,
    }
}

fn set_withdrawn(is_withdrawn: bool) -> Action {
    Action::SetWithdrawn {
        host: "s-5be2a07c".into(),
        is_withdrawn,
        channel: Channel::Shared,
    }
}

fn set_admission(table: u32, classes: u32, quota: f64, retry_policy: RetryPolicy) -> Action {
    Action::SetAdmission {
        table,
        classes,
        quota,
        retry_policy,
    }
}

#[test]
fn orders_are_encoded_as_documented() {
    let documented = [
        (set_endpoint(1.5), "share,4,s-5be2a07c,1.5"),
        (set_endpoint(0.0), "share,4,s-5be2a07c,0"),
        (set_endpoint(1e-7), "share,4,s-5be2a07c,0.0000001"),
        (Action::ClearTable { table: 4 }, "clear,4"),
        (bind(1), "bind,17,4,lookup"),
        (bind(6), "bind,17,4,basket+pay"),
        (bind(0), "bind,17,4,*"),
        (set_withdrawn(true), "withdraw,s-5be2a07c"),
        (set_withdrawn(false), "restore,s-5be2a07c"),
        (
            set_admission(4, 1, 0.9, RetryPolicy::OnceIfNotRun),
            "admit,4,lookup,0.9,1",
        ),
        (
            set_admission(65_535, 7, 1.0, RetryPolicy::Never),
            "admit,*,*,1,0",
        ),
        (Action::RequestAck { ack_number: 905 }, "mark,905,0"),
    ];
    for (action, text) in documented {
        assert_eq!(encoded(&action).as_deref(), Some(text));
    }
}

#[test]
fn actions_without_relay_form_are_not_encoded() {
    let host = || "s-5be2a07c".into();
    for action in [
        Action::SubscribeToHosts,
        Action::Log { text: "x".into() },
        Action::CheckHealth { host: host() },
        Action::ClearTable {
            table: FIRST_DEDICATED_TABLE,
        },
        Action::SetWithdrawn {
            host: host(),
            is_withdrawn: true,
            channel: Channel::Dedicated,
        },
    ] {
        assert_eq!(encoded(&action), None);
    }
}

#[test]
fn call_is_encoded_as_one_line() {
    let actions = [
        Action::ClearTable { table: 4 },
        Action::RequestAck { ack_number: 1 },
    ];
    let orders: Vec<Order> = actions
        .iter()
        .filter_map(|action| Order::encode(action, &classes()))
        .collect();
    assert_eq!(relay::encode_call(&orders), "APPLY clear,4;mark,1,0\r\n");
    assert_eq!(
        orders.iter().map(Order::is_ack_request).collect::<Vec<_>>(),
        [false, true]
    );
}

#[test]
fn replies_are_parsed() {
    let all = [
        ("OK 2", Reply::Accepted(2)),
        ("OK", Reply::Watching),
        ("BUSY", Reply::Busy),
        ("SYNTAX", Reply::SyntaxError),
        ("OK two", Reply::Unreadable),
        ("OK -1", Reply::Unreadable),
        ("OK 2 3", Reply::Unreadable),
        ("", Reply::Unreadable),
        ("* left 3", Reply::Unreadable),
        ("\u{fffd}K 2", Reply::Unreadable),
    ];
    for (line, reply) in all {
        assert_eq!(relay::parse_reply(line), reply, "{line:?}");
    }
}

#[test]
fn documented_notifications_are_parsed() {
    let joined = Notification::ProxyJoined {
        proxy: 17,
        zone: "a",
        rate: 21.5,
        is_fresh: true,
    };
    assert_eq!(
        relay::parse_notification("* joined 17 a 21.5 1"),
        Some(joined)
    );
    assert_eq!(
        relay::parse_notification("* left 17"),
        Some(Notification::ProxyLeft { proxy: 17 })
    );
    assert_eq!(
        relay::parse_notification("* applied 17 905 310.4"),
        Some(Notification::Applied {
            proxy: 17,
            ack_number: 905,
            elapsed: 310.4
        })
    );
    assert_eq!(
        relay::parse_notification("*"),
        Some(Notification::KeepAlive)
    );
    assert_eq!(
        relay::parse_notification("* moved 17"),
        Some(Notification::Unknown)
    );
    for invalid in [
        "",
        "left 17",
        "* left",
        "* left x",
        "* joined 17 a NaN 1",
        "* applied 1 65536 2",
        "* joined 1 a 2 9",
    ] {
        assert_eq!(relay::parse_notification(invalid), None, "{invalid:?}");
    }
}
