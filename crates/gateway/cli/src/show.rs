//! Pages of core directors as tables.

use facet_value::{VObject, Value};
use rushcourse_admission::{Rank, RankedRoutes, SheddingOrder};
use rushcourse_config::Configuration;
use std::fmt::Write;

/// A table, or why there is none and the exit code.
type Came = Result<String, (String, i32)>;

fn page(text: &str) -> Result<Value, (String, i32)> {
    facet_json::from_str(text).map_err(|e| (format!("a page can't be read: {e}"), 2))
}

/// A field as text; `-` where it is not there.
fn text(of: &VObject, name: &str) -> String {
    match of.get(name) {
        None => "-".into(),
        Some(v) if v.is_null() => "-".into(),
        Some(v) => match (v.as_string(), v.as_bool(), v.as_number()) {
            (Some(s), ..) => s.as_str().to_string(),
            (_, Some(b), _) => if b { "yes" } else { "no" }.into(),
            (.., Some(n)) => n
                .to_u64()
                .map(|n| n.to_string())
                .or(n.to_f64().map(|n| format!("{n:.1}")))
                .unwrap_or_default(),
            _ => "-".into(),
        },
    }
}

fn list<'a>(of: &'a VObject, name: &str) -> Vec<&'a Value> {
    of.get(name)
        .and_then(|v| v.as_array())
        .map(|a| a.iter().collect())
        .unwrap_or_default()
}

/// Columns as wide as their widest cell.
fn columns(rows: &[Vec<String>]) -> String {
    let count = rows.iter().map(Vec::len).max().unwrap_or(0);
    // The last cell of a short row is a remark: it widens no column.
    let counts = |r: &&Vec<String>, k: usize| r.len() == count || k + 1 < r.len();
    let width = |k: usize| {
        let cells = rows
            .iter()
            .filter(|r| counts(r, k))
            .filter_map(|r| r.get(k));
        cells.map(|c| c.chars().count()).max().unwrap_or(0)
    };
    let widths: Vec<usize> = (0..count).map(width).collect();
    let mut out = String::new();
    for row in rows {
        let cells: Vec<String> = row
            .iter()
            .zip(&widths)
            .map(|(c, w)| format!("{c:w$}", w = *w))
            .collect();
        let _ = writeln!(out, "{}", cells.join("  ").trim_end());
    }
    out
}

fn head(names: &[&str]) -> Vec<String> {
    names.iter().map(|n| (*n).to_string()).collect()
}

pub fn raw(pages: &Pages) -> String {
    pages
        .iter()
        .filter_map(|p| p.1.as_ref().ok())
        .map(|p| format!("{p}\n"))
        .collect()
}

pub fn status(pages: &Pages) -> Came {
    let mut rows = vec![head(&[
        "director", "name", "set", "voters", "votes", "held", "in force", "claims", "peers",
        "fronts", "hosts", "refused",
    ])];
    for (at, came) in pages {
        let body = match came {
            Ok(body) => page(body)?,
            Err(e) => {
                rows.push(vec![at.clone(), remark(at, e)]);
                continue;
            }
        };
        let Some(p) = body.as_object() else { continue };
        let set = p.get("set").and_then(|s| s.as_object());
        let voters = set.map_or(0, |s| list(s, "members").len());
        rows.push(vec![
            at.clone(),
            text(p, "name"),
            set.map_or_else(|| "-".into(), |s| text(s, "number")),
            voters.to_string(),
            text(p, "votes"),
            text(p, "held"),
            text(p, "in_force"),
            text(p, "claims"),
            list(p, "peers").len().to_string(),
            list(p, "members").len().to_string(),
            list(p, "hosts").len().to_string(),
            refused(p).to_string(),
        ]);
    }
    Ok(columns(&rows))
}

/// Sessions and messages that were refused, for all reasons.
fn refused(page: &VObject) -> u64 {
    let by = page.get("refused").and_then(|r| r.as_object());
    by.map_or(0, |by| {
        by.iter()
            .filter_map(|(_, n)| n.as_number().and_then(|n| n.to_u64()))
            .sum()
    })
}

/// Why there is no page.
fn remark(at: &str, e: &str) -> String {
    format!(
        "({})",
        e.strip_prefix(at)
            .map_or(e, |e| e.trim_start_matches([':', ' ']))
    )
}

type Pages = [(String, Result<String, String>)];

/// Rows of all pages that came; a line for each director that did not answer.
fn of_each(pages: &Pages, names: &[&str], row: impl Fn(&VObject) -> Vec<Vec<String>>) -> Came {
    let mut rows = vec![
        [&["director"], names]
            .concat()
            .iter()
            .map(|n| n.to_string())
            .collect(),
    ];
    for (at, came) in pages {
        match came {
            Err(e) => rows.push(vec![at.clone(), remark(at, e)]),
            Ok(body) => {
                let body = page(body)?;
                let made = body.as_object().map(&row).unwrap_or_default();
                rows.extend(made.into_iter().map(|r| [vec![at.clone()], r].concat()));
            }
        }
    }
    Ok(columns(&rows))
}

pub fn disks(pages: &Pages) -> Came {
    let names = [
        "name",
        "bytes",
        "syncs",
        "refused",
        "last ms",
        "most ms",
        "stalled ms",
    ];
    of_each(pages, &names, |p| {
        let Some(d) = p.get("disk").and_then(|d| d.as_object()) else {
            return Vec::new();
        };
        let fields = [
            "bytes",
            "syncs",
            "refused",
            "last_ms",
            "most_ms",
            "writing_ms",
        ];
        vec![[vec![text(p, "name")], fields.map(|f| text(d, f)).to_vec()].concat()]
    })
}

pub fn key(pages: &Pages) -> Came {
    of_each(
        pages,
        &["held", "by", "life", "number", "age s", "on disk"],
        |p| {
            vec![
                ["held", "by", "life", "number", "age_s", "on_disk"]
                    .map(|f| text(p, f))
                    .to_vec(),
            ]
        },
    )
}

/// What a page says of itself and, of each voter, whether it is in session with it.
pub fn voters(pages: &Pages) -> Came {
    let table = of_each(
        pages,
        &[
            "name",
            "set",
            "members",
            "reached",
            "remembers",
            "votes",
            "held",
        ],
        |p| {
            let set = p.get("set").and_then(|s| s.as_object());
            let members = set.map(|s| list(s, "members")).unwrap_or_default();
            let word = |v: &Value| {
                v.as_string()
                    .map(|s| s.as_str().to_string())
                    .unwrap_or_default()
            };
            let peers: Vec<String> = list(p, "peers").into_iter().map(word).collect();
            // Itself is no peer of its own.
            let reached = members.iter().filter(|m| peers.contains(&word(m))).count() + 1;
            let number = set.map_or_else(|| "-".into(), |s| text(s, "number"));
            let members = members.into_iter().map(word).collect::<Vec<_>>().join(",");
            let own = ["remembers", "votes", "held"].map(|f| text(p, f));
            vec![
                [
                    vec![text(p, "name"), number, members, reached.to_string()],
                    own.to_vec(),
                ]
                .concat(),
            ]
        },
    )?;
    let sets: std::collections::BTreeSet<String> = pages
        .iter()
        .filter_map(|p| page(p.1.as_ref().ok()?).ok())
        .filter_map(|p| Some(format!("{:?}", p.as_object()?.get("set")?)))
        .collect();
    let told = if sets.len() > 1 {
        "directors differ: not all count in one set\n"
    } else {
        ""
    };
    Ok(format!("{table}{told}"))
}

/// Frontend directors by name, with who is in session with each and who is its home.
pub fn members(pages: &Pages) -> Came {
    let mut known: std::collections::BTreeMap<String, (String, String, Vec<String>, Vec<String>)> =
        std::collections::BTreeMap::new();
    let mut silent = String::new();
    for (at, came) in pages {
        let body = match came {
            Ok(body) => page(body)?,
            Err(e) => {
                let _ = writeln!(silent, "{at}  {}", remark(at, e));
                continue;
            }
        };
        let Some(p) = body.as_object() else { continue };
        for session in list(p, "sessions")
            .into_iter()
            .filter_map(|s| s.as_object())
        {
            if text(session, "role") != "gateway" {
                continue;
            }
            let seat = known.entry(text(session, "name")).or_default();
            (seat.0, seat.1) = (text(session, "address"), text(session, "zone"));
            seat.2.push(text(p, "name"));
            if text(session, "home") == "yes" {
                seat.3.push(text(p, "name"));
            }
        }
    }
    let mut rows = vec![head(&[
        "member",
        "address",
        "zone",
        "home",
        "in session with",
    ])];
    for (name, (address, zone, with, homes)) in known {
        let home = if homes.is_empty() {
            "-".into()
        } else {
            homes.join(",")
        };
        rows.push(vec![name, address, zone, home, with.join(",")]);
    }
    Ok(format!("{}{silent}", columns(&rows)))
}

pub fn hosts(who: &str, body: &str) -> Came {
    let body = page(body)?;
    let mut rows = vec![head(&[
        "host", "service", "address", "zone", "state", "age s",
    ])];
    for host in body
        .as_object()
        .map(|p| list(p, "hosts"))
        .unwrap_or_default()
    {
        if let Some(h) = host.as_object() {
            rows.push(
                ["id", "service", "address", "zone", "state", "age_s"]
                    .map(|f| text(h, f))
                    .to_vec(),
            );
        }
    }
    Ok(format!("as {who} sees them\n{}", columns(&rows)))
}

pub fn tables(who: &str, body: &str) -> Came {
    let body = page(body)?;
    let mut rows = vec![head(&["service", "table", "fronts", "lines"])];
    for table in body
        .as_object()
        .map(|p| list(p, "tables"))
        .unwrap_or_default()
    {
        if let Some(t) = table.as_object() {
            let lines = list(t, "lines").len().to_string();
            rows.push(vec![
                text(t, "service"),
                text(t, "table"),
                text(t, "fronts"),
                lines,
            ]);
        }
    }
    Ok(format!("as {who} orders them\n{}", columns(&rows)))
}

/// Who gives way first, service by service.
pub fn order(configuration: &Configuration) -> String {
    let mut rows = vec![head(&[
        "service",
        "gives way",
        "routes",
        "kind",
        "priority",
        "aim s",
    ])];
    for service in configuration.services.keys() {
        let order = SheddingOrder::for_service(configuration, service);
        for (k, RankedRoutes { rank, routes }) in order.ranks().iter().enumerate().rev() {
            let place = match order.ranks().len() - k {
                1 => "first".to_string(),
                n if k == 0 => format!("last ({n})"),
                n => n.to_string(),
            };
            let aim = if rank.target_latency == Rank::NO_TARGET {
                "-".into()
            } else {
                format!("{:.3}", rank.target_latency.as_secs_f64())
            };
            let kind = if rank.is_read_only { "reads" } else { "binds" }.to_string();
            rows.push(vec![
                service.clone(),
                place,
                routes.join(","),
                kind,
                rank.priority.to_string(),
                aim,
            ]);
        }
    }
    columns(&rows)
}

/// Writing to a text can't fail.
fn say(_: std::fmt::Result) {}

/// What differs between two configurations, a line each.
pub fn diff(old: &Configuration, new: &Configuration) -> String {
    let mut out = format!("version {} to {}\n", old.version, new.version);
    let place = |r: &rushcourse_config::Route| (r.host.clone(), r.path_prefix.clone());
    for route in &new.routes {
        match old.routes.iter().find(|r| place(r) == place(route)) {
            None => say(writeln!(
                out,
                "+ route {} {} {}",
                route.name, route.host, route.path_prefix
            )),
            Some(before) if before != route => {
                let _ = writeln!(
                    out,
                    "~ route {} {} {}: {before:?} to {route:?}",
                    route.name, route.host, route.path_prefix
                );
            }
            Some(_) => {}
        }
    }
    for route in old
        .routes
        .iter()
        .filter(|r| !new.routes.iter().any(|n| place(n) == place(r)))
    {
        let _ = writeln!(
            out,
            "- route {} {} {}",
            route.name, route.host, route.path_prefix
        );
    }
    for (name, service) in &new.services {
        match old.services.get(name) {
            None => say(writeln!(out, "+ service {name}")),
            Some(before) if before != service => {
                say(writeln!(out, "~ service {name}: {before:?} to {service:?}"))
            }
            Some(_) => {}
        }
    }
    for name in old
        .services
        .keys()
        .filter(|n| !new.services.contains_key(*n))
    {
        let _ = writeln!(out, "- service {name}");
    }
    if old.limits != new.limits {
        let _ = writeln!(out, "~ limits: {:?} to {:?}", old.limits, new.limits);
    }
    out
}

#[cfg(test)]
mod tests {
    use super::*;
    use rushcourse_types::Epoch;

    fn pages() -> Vec<(String, Result<String, String>)> {
        let page = |name: &str, set: Epoch, home: bool| {
            format!(
                r#"{{"name":"{name}","set":{{"number":{set},"members":["10.0.0.1","10.0.0.2","10.0.0.3"]}},
                "remembers":true,"votes":true,"held":7,"in_force":7,"claims":2,"peers":["10.0.0.2"],
                "disk":{{"bytes":4096,"syncs":9,"refused":1,"last_ms":0.5,"most_ms":31.0,"writing_ms":null}},
                "sessions":[{{"id":1,"name":"front-1","address":"10.0.0.9","zone":"n","role":"gateway","home":{home}}},
                {{"id":2,"name":"core-2","address":"10.0.0.2","zone":"n","role":"controller","home":false}}],
                "members":["10.0.0.9"],"hosts":[],"refused":{{"other machine":2,"unreadable":1}},"tables":[]}}"#
            )
        };
        vec![
            ("10.0.0.1:80".into(), Ok(page("core-1", Epoch(1), false))),
            ("10.0.0.2:80".into(), Ok(page("core-2", Epoch(2), true))),
            ("10.0.0.3:80".into(), Err("10.0.0.3:80: no answer".into())),
        ]
    }

    /// Cells of a table's rows.
    fn cells(table: &str) -> Vec<Vec<&str>> {
        table
            .lines()
            .map(|l| {
                l.split("  ")
                    .map(str::trim)
                    .filter(|c| !c.is_empty())
                    .collect()
            })
            .collect()
    }

    #[test]
    fn voters_tell_who_is_reached_and_where_directors_differ() {
        let table = voters(&pages()).expect("a table");
        let rows = cells(&table);
        assert_eq!(
            rows[1],
            [
                "10.0.0.1:80",
                "core-1",
                "1",
                "10.0.0.1,10.0.0.2,10.0.0.3",
                "2",
                "yes",
                "yes",
                "7"
            ]
        );
        assert_eq!(rows[3], ["10.0.0.3:80", "(no answer)"]);
        assert_eq!(rows[4], ["directors differ: not all count in one set"]);
        assert!(!voters(&pages()[..1]).expect("a table").contains("differ"));
    }

    #[test]
    fn members_have_their_home_and_disks_their_troubles() {
        let table = members(&pages()).expect("a table");
        assert_eq!(
            cells(&table)[1],
            ["front-1", "10.0.0.9", "n", "core-2", "core-1,core-2"]
        );
        assert!(table.ends_with("10.0.0.3:80  (no answer)\n"), "{table}");
        let table = disks(&pages()).expect("a table");
        assert_eq!(
            cells(&table)[1],
            ["10.0.0.1:80", "core-1", "4096", "9", "1", "0.5", "31", "-"]
        );
        let table = status(&pages()).expect("a table");
        assert_eq!(
            cells(&table)[1].last(),
            Some(&"3"),
            "refused, for all reasons: {table}"
        );
    }
}
