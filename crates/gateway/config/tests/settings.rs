//! Parsing of settings files, and the line and field that errors report.

mod common;

use common::SETTINGS;
use rushcourse_config::NodeSettings;
use rushcourse_config::settings::PortRange;
use std::time::Duration;

fn parse(text: &str) -> NodeSettings {
    NodeSettings::parse(text).expect("valid settings")
}

#[test]
fn valid_settings_file_is_parsed() {
    let settings = parse(SETTINGS);
    assert_eq!(settings.peers.seeds.len(), 2);
    let ports = PortRange {
        first: 7540,
        last: 7555,
    };
    assert_eq!(settings.peers.ports, ports);
    assert!(settings.is_first_start);
    assert_eq!(settings.zones, ["z1", "z2"]);
}

#[test]
fn invalid_settings_are_rejected_with_line_and_field() {
    for (replaced, by, error) in [
        ("10.1.0.36\n", "ten\n", "line 3: ip_address: \"ten\""),
        (
            "7540,7555",
            "7540",
            "line 4: internal_port_range: must hold two ports",
        ),
        (
            "7540,7555",
            "7560,7555",
            "line 4: internal_port_range: 7560 is above 7555",
        ),
        ("8544,10", "x,10", "line 6: seed_nodes: \"10.1.0.36:x\""),
        ("true", "perhaps", "line 7: first_start"),
        ("zone=z1\n", "zone\n", "line 2: zone: is not of the form"),
        ("node_name=core-1\n", "", "node_name: is missing"),
    ] {
        let message = NodeSettings::parse(&SETTINGS.replacen(replaced, by, 1))
            .expect_err(by)
            .to_string();
        assert!(message.starts_with(error), "{message}");
    }
}

#[test]
fn incomplete_peer_key_files_are_rejected() {
    let lines = [
        "peers.certificate=a.cert\n",
        "peers.key=a.key\n",
        "peers.authority=ca.pem\n",
    ];
    assert_eq!(parse(SETTINGS).peers.keys, None);

    let keys = parse(&[SETTINGS, &lines.concat()].concat()).peers.keys;
    let keys = keys.expect("all three files");
    assert_eq!(
        [&*keys.certificate, &*keys.key, &*keys.authority],
        ["a.cert", "a.key", "ca.pem"]
    );

    let fields = ["peers.certificate", "peers.key", "peers.authority"];
    for (omitted, field) in fields.iter().enumerate() {
        let mut others = lines.to_vec();
        others.remove(omitted);
        let message = NodeSettings::parse(&[SETTINGS, &others.concat()].concat())
            .expect_err(field)
            .to_string();
        assert!(
            message.starts_with(&format!("{field}: is missing")),
            "{message}"
        );
    }
}

/// Existing settings depend on `(seconds * 1000.0) as u64` milliseconds, without rounding.
#[test]
fn durations_are_truncated_to_whole_milliseconds() {
    for thousandths in 50..20_000_u32 {
        let seconds = f64::from(thousandths) / 1000.0;
        let text = format!("{SETTINGS}heartbeat_interval_s={seconds}\n");
        let millis = parse(&text).heartbeat_interval.as_millis();
        assert_eq!(millis, (seconds * 1000.0) as u128, "{seconds} s");
    }
}

#[test]
fn revocation_is_bounded_only_if_it_is_closed() {
    let revocation = |lines: &str| parse(&[SETTINGS, lines].concat()).bounds.revocation;
    assert_eq!(revocation(""), None);
    assert_eq!(revocation("bounds.revocation_s=7\n"), None);
    assert_eq!(revocation("bounds.revocation_closed=false\n"), None);

    let closed = "bounds.revocation_closed=true\n";
    assert_eq!(revocation(closed), Some(Duration::from_secs(5)));
    let with_bound = format!("{closed}bounds.revocation_s=2.5\n");
    assert_eq!(revocation(&with_bound), Some(Duration::from_millis(2_500)));

    let invalid = format!("{SETTINGS}bounds.revocation_closed=perhaps\n");
    let message = NodeSettings::parse(&invalid)
        .expect_err("no boolean")
        .to_string();
    assert!(message.contains("bounds.revocation_closed"), "{message}");
}

#[test]
fn limits_of_link_and_disk_have_defaults() {
    let limits = |lines: &str| parse(&[SETTINGS, lines].concat()).limits;
    let defaults = limits("");
    assert_eq!(
        (defaults.link_speed_mbps, defaults.disk_mb),
        (1000.0, 256.0)
    );
    let given = limits("limits.link_speed_mbps=2.0\nlimits.disk_mb=64\n");
    assert_eq!((given.link_speed_mbps, given.disk_mb), (2.0, 64.0));
}
