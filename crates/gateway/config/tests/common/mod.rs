//! Valid configuration and settings texts, which tests modify.
#![allow(dead_code)]

/// A configuration of two routes and two services, with an unknown column and an unknown field.
pub const CONFIGURATION: &str = r#"{"version":7,
"routes":{"columns":["name","host","path_prefix","route_kind","timeout_s","target_latency_s","weighted_split","maximum_attempts","service","later"],
"rows":[["r1","a.example","/x/","read_only",1.5,0.25,[{"service":"s1","weight":90},{"service":"s2","weight":10}],2,null,null],
["r2","a.example","/x/y/","idempotent",2,0.3,null,2,"s2",1]]},
"services":{"columns":["name","connection_capacity","deduplicates"],"rows":[["s1",110,false],["s2",110,true]]},
"limits":{"header_size_bytes":16384,"body_size_bytes":1000,"header_timeout_s":3,"idle_timeout_s":15},"more":true}"#;

/// Settings of a controller, with an unknown field.
pub const SETTINGS: &str = "node_name=core-1
zone=z1
ip_address=10.1.0.36
internal_port_range=7540,7555
zones.z2=r
seed_nodes=10.1.0.36:8544,10.2.0.37:8544
first_start=true
nobody.knows=this
";
