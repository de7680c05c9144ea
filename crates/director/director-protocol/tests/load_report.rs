//! Decoding of load reports in text form.

use rushcourse_director_protocol::load_report;
use rushcourse_policy::interface::HostLoad;

#[test]
fn unknown_names_in_text_report_are_ignored() {
    let all = HostLoad {
        cpu_utilization: Some(0.61),
        queued: Some(2.0),
        in_flight: Some(7.0),
    };
    assert_eq!(
        load_report::from_text(b"TEXT inflight=7, queue=2, util=0.61"),
        all
    );
    assert_eq!(
        load_report::from_text(b"TEXT inflight=7,queue=2,util=0.61,mood=9\r\n"),
        all
    );
}

#[test]
fn invalid_text_report_is_empty() {
    for invalid in [
        "",
        "TEXT",
        "JSON util=1",
        "TEXT util=x, queue=-1, inflight=NaN",
        "TEXT util",
        "\u{0}",
    ] {
        assert_eq!(
            load_report::from_text(invalid.as_bytes()),
            HostLoad::default(),
            "{invalid:?}"
        );
    }
}
