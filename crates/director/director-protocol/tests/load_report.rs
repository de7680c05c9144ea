//! A host's load report in text.

use rushcourse_director_protocol::load_report;
use rushcourse_policy::interface::HostLoad;

#[test]
fn a_load_report_in_text_is_read_as_far_as_its_names_are_known() {
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
fn an_invalid_load_report_in_text_is_empty() {
    for odd in [
        "",
        "TEXT",
        "JSON util=1",
        "TEXT util=x, queue=-1, inflight=NaN",
        "TEXT util",
        "\u{0}",
    ] {
        assert_eq!(
            load_report::from_text(odd.as_bytes()),
            HostLoad::default(),
            "{odd:?}"
        );
    }
}
