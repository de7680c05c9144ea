//! Pages of core directors as tables.

use facet_value::{VObject, Value};
use rushcourse_directory::Configuration;
use std::fmt::Write;

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
    of.get(name).and_then(|v| v.as_array()).map(|a| a.iter().collect()).unwrap_or_default()
}

/// Columns as wide as their widest cell.
fn columns(rows: &[Vec<String>]) -> String {
    let count = rows.iter().map(Vec::len).max().unwrap_or(0);
    let width = |k: usize| rows.iter().filter_map(|r| r.get(k)).map(|c| c.chars().count()).max().unwrap_or(0);
    let widths: Vec<usize> = (0..count).map(width).collect();
    let mut out = String::new();
    for row in rows {
        let cells: Vec<String> = row.iter().zip(&widths).map(|(c, w)| format!("{c:w$}", w = *w)).collect();
        let _ = writeln!(out, "{}", cells.join("  ").trim_end());
    }
    out
}

fn head(names: &[&str]) -> Vec<String> {
    names.iter().map(|n| (*n).to_string()).collect()
}

pub fn raw(pages: &[(String, Result<String, String>)]) -> String {
    pages.iter().filter_map(|p| p.1.as_ref().ok()).map(|p| format!("{p}\n")).collect()
}

pub fn status(pages: &[(String, Result<String, String>)]) -> Result<String, (String, i32)> {
    let mut rows = vec![head(&[
        "director", "name", "set", "voters", "votes", "held", "in force", "claims", "peers", "fronts",
        "hosts",
    ])];
    for (at, came) in pages {
        let body = match came {
            Ok(body) => page(body)?,
            Err(e) => {
                rows.push(vec![at.clone(), format!("({e})")]);
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
        ]);
    }
    Ok(columns(&rows))
}

pub fn hosts(who: &str, body: &str) -> Result<String, (String, i32)> {
    let body = page(body)?;
    let mut rows = vec![head(&["host", "service", "address", "zone", "state", "age s"])];
    for host in body.as_object().map(|p| list(p, "hosts")).unwrap_or_default() {
        if let Some(h) = host.as_object() {
            rows.push(["id", "service", "address", "zone", "state", "age_s"].map(|f| text(h, f)).to_vec());
        }
    }
    Ok(format!("as {who} sees them\n{}", columns(&rows)))
}

pub fn tables(who: &str, body: &str) -> Result<String, (String, i32)> {
    let body = page(body)?;
    let mut rows = vec![head(&["service", "table", "fronts", "lines"])];
    for table in body.as_object().map(|p| list(p, "tables")).unwrap_or_default() {
        if let Some(t) = table.as_object() {
            let lines = list(t, "lines").len().to_string();
            rows.push(vec![text(t, "service"), text(t, "table"), text(t, "fronts"), lines]);
        }
    }
    Ok(format!("as {who} orders them\n{}", columns(&rows)))
}

/// Writing to a text can't fail.
fn say(_: std::fmt::Result) {}

/// What differs between two configurations, a line each.
pub fn diff(old: &Configuration, new: &Configuration) -> String {
    let mut out = format!("version {} to {}\n", old.version, new.version);
    let place = |r: &rushcourse_directory::Route| (r.host.clone(), r.prefix.clone());
    for route in &new.routes {
        match old.routes.iter().find(|r| place(r) == place(route)) {
            None => say(writeln!(out, "+ route {} {} {}", route.name, route.host, route.prefix)),
            Some(before) if before != route => {
                let _ = writeln!(
                    out,
                    "~ route {} {} {}: {before:?} to {route:?}",
                    route.name, route.host, route.prefix
                );
            }
            Some(_) => {}
        }
    }
    for route in old.routes.iter().filter(|r| !new.routes.iter().any(|n| place(n) == place(r))) {
        let _ = writeln!(out, "- route {} {} {}", route.name, route.host, route.prefix);
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
    for name in old.services.keys().filter(|n| !new.services.contains_key(*n)) {
        let _ = writeln!(out, "- service {name}");
    }
    if old.limits != new.limits {
        let _ = writeln!(out, "~ limits: {:?} to {:?}", old.limits, new.limits);
    }
    out
}
