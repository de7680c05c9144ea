//! Configurations and settings files: what is refused, and by which place.

use rushcourse_config::{Boot, Configuration, RouteKind};
use rushcourse_types::ConfigurationVersion;

const GOOD: &str = r#"{"version":7,"routes":{"columns":["name","host","path_prefix","route_kind","timeout_s","target_latency_s","weighted_split","maximum_attempts","service","later"],
"rows":[["r1","a.example","/x/","read_only",1.5,0.25,[{"service":"s1","weight":90},{"service":"s2","weight":10}],2,null,null],
["r2","a.example","/x/y/","idempotent",2,0.3,null,2,"s2",1]]},
"services":{"columns":["name","connection_capacity","deduplicates"],"rows":[["s1",110,false],["s2",110,true]]},
"limits":{"header_size_bytes":16384,"body_size_bytes":1000,"header_timeout_s":3,"idle_timeout_s":15},"more":true}"#;

#[test]
fn a_configuration_is_read_and_the_longest_prefix_wins() {
    let read = Configuration::read(GOOD.as_bytes()).expect("a good one");
    assert_eq!(
        (read.version, read.routes.len(), read.services.len()),
        (ConfigurationVersion(7), 2, 2)
    );
    let name = |host: &str, path: &str| read.route(host, path).map(|r| r.name.clone());
    assert_eq!(name("a.example", "/x/1").as_deref(), Some("r1"));
    assert_eq!(name("A.example:8080", "/x/y/1").as_deref(), Some("r2"));
    assert_eq!(
        (name("a.example", "/x"), name("b.example", "/x/1")),
        (None, None)
    );
    assert_eq!(read.routes[1].kind, RouteKind::Idempotent);
}

#[test]
fn a_split_follows_its_weights_and_one_request_goes_to_one_side() {
    let read = Configuration::read(GOOD.as_bytes()).expect("a good one");
    let route = &read.routes[0];
    let first = (0..10_000)
        .filter(|k| route.service(format!("id-{k}").as_bytes()) == "s1")
        .count();
    assert!(
        (8_800..9_200).contains(&first),
        "{first} of 10,000 at weight 90 of 100"
    );
    assert_eq!(route.service(b"id-1"), route.service(b"id-1"));
}

#[test]
fn each_thing_that_is_wrong_is_refused_by_its_place() {
    let cases = [
        (
            r#""s2",1]]"#,
            r#""s9",1]]"#,
            "routes.rows[1].service: names the unknown service",
        ),
        (
            r#"{"service":"s2","weight":10}"#,
            r#"{"service":"s9","weight":10}"#,
            "weighted_split[1].service",
        ),
        ("1.5,0.25", "601,0.25", "routes.rows[0].timeout_s"),
        ("2,0.3", "2,62", "routes.rows[1].target_latency_s"),
        (r#""/x/y/""#, r#""x/y/""#, "routes.rows[1].path_prefix"),
        (r#""a.example","/x/""#, r#""","/x/""#, "routes.rows[0].host"),
        ("read_only", "sometimes", "routes.rows[0].route_kind"),
        (
            r#""weight":90"#,
            r#""weight":-1"#,
            "weighted_split[0].weight",
        ),
        (r#""/x/y/""#, r#""/x/""#, "stands twice"),
        (
            r#""s2",110,true"#,
            r#""s1",110,true"#,
            "services.rows[1].name",
        ),
        (
            r#","later"]"#,
            r#"]"#,
            "routes.rows[0]: has 10 cells for 9 columns",
        ),
        (
            r#""version":7"#,
            r#""version":7.5"#,
            "version: must be a whole number",
        ),
        (r#""version":7,"#, "", "body: version is missing"),
        (
            r#""idle_timeout_s":15"#,
            r#""idle_timeout_s":0"#,
            "limits.idle_timeout_s",
        ),
    ];
    for (old, new, place) in cases {
        let text = GOOD.replacen(old, new, 1);
        assert_ne!(text, GOOD, "{old}");
        let told = Configuration::read(text.as_bytes())
            .expect_err(new)
            .to_string();
        assert!(told.contains(place), "{new}: {told}");
    }
}

#[test]
fn a_text_that_is_cut_short_anywhere_is_refused() {
    for end in 0..GOOD.len() {
        assert!(
            Configuration::read(&GOOD.as_bytes()[..end]).is_err(),
            "{end} bytes"
        );
    }
}

const BOOT: &str = "node_name=core-1\nzone=z1\nip_address=10.1.0.36\ninternal_port_range=7540,7555\nzones.z2=r\n\
                    seed_nodes=10.1.0.36:8544,10.2.0.37:8544\nfirst_start=true\nnobody.knows=this\n";

#[test]
fn a_settings_file_names_line_and_field_of_what_is_wrong() {
    let read = Boot::read(BOOT).expect("a good one");
    assert_eq!(
        (read.seeds.len(), read.internal_ports, read.first_start),
        (2, (7540, 7555), true)
    );
    assert_eq!(read.zones, ["z1", "z2"]);
    for (old, new, told) in [
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
        let e = Boot::read(&BOOT.replacen(old, new, 1))
            .expect_err(new)
            .to_string();
        assert!(e.starts_with(told), "{e}");
    }
}

#[test]
fn keys_of_directors_are_all_three_files_or_none() {
    let lines = [
        "peers.certificate=a.cert\n",
        "peers.key=a.key\n",
        "peers.authority=ca.pem\n",
    ];
    assert_eq!(Boot::read(BOOT).expect("none").keys, None);
    let all = Boot::read(&[BOOT, &lines.concat()].concat())
        .expect("all")
        .keys
        .expect("keys");
    assert_eq!(
        [&*all.certificate, &*all.key, &*all.authority],
        ["a.cert", "a.key", "ca.pem"]
    );
    for (left_out, field) in ["peers.certificate", "peers.key", "peers.authority"]
        .iter()
        .enumerate()
    {
        let some: String = lines
            .iter()
            .enumerate()
            .filter(|(k, _)| *k != left_out)
            .map(|(_, line)| *line)
            .collect();
        let e = Boot::read(&[BOOT, &some].concat())
            .expect_err(field)
            .to_string();
        assert!(e.starts_with(&format!("{field}: is missing")), "{e}");
    }
}
