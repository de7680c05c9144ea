//! Packages import downward only, and so do the files within each, so that no two import each other in a circle.

use std::collections::{BTreeMap, BTreeSet};
use std::path::{Path, PathBuf};

/// From the bottom up.
const LAYERS: [&str; 25] = [
    "rushcourse-policy",
    "rushcourse-types",
    "rushcourse-messages",
    "rushcourse-config",
    "rushcourse-admission",
    "rushcourse-consensus",
    "rushcourse-cluster",
    "rushcourse-routing",
    "rushcourse-modelcheck",
    "rushcourse-netcost",
    "rushcourse-tls",
    "rushcourse-storage",
    "rushcourse-transport",
    "rushcourse-controller",
    "rushcourse-gateway",
    "rushcourse-cli",
    "rushcourse-director-settings",
    "rushcourse-director-protocol",
    "rushcourse-xds",
    "rushcourse-director-state",
    "rushcourse-bench-adapter",
    "rushcourse-simulation",
    "rushcourse-grpc",
    "rushcourse-starlark",
    "rushcourse-director",
];

/// The folders of all packages: `crates/<family>/<package>`.
fn packages() -> Vec<PathBuf> {
    let crates = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let folders = |of: &Path| -> Vec<PathBuf> {
        let entries = std::fs::read_dir(of).expect("a folder");
        entries
            .map(|entry| entry.expect("an entry").path())
            .collect()
    };
    let found: Vec<PathBuf> = folders(&crates)
        .iter()
        .flat_map(|family| folders(family))
        .collect();
    assert_eq!(
        found.len(),
        LAYERS.len(),
        "each package has its place among the layers"
    );
    found
}

fn package_name(manifest: &Path) -> String {
    let text = std::fs::read_to_string(manifest).expect("a manifest");
    let name = text.lines().find_map(|line| line.strip_prefix("name = "));
    name.expect("a name").trim_matches('"').to_string()
}

fn imports(manifest: &Path) -> Vec<String> {
    let text = std::fs::read_to_string(manifest).expect("a manifest");
    let after = text.split("\n[dependencies]\n").nth(1).unwrap_or("");
    let section = after.split("\n[").next().unwrap_or("");
    let names = section
        .lines()
        .filter_map(|l| l.split([' ', '=', '.']).next());
    names
        .filter(|n| n.starts_with("rushcourse-"))
        .map(String::from)
        .collect()
}

#[test]
fn no_package_imports_upward() {
    let mut found = 0;
    for path in packages() {
        let name = package_name(&path.join("Cargo.toml"));
        let place = |n: &str| LAYERS.iter().position(|l| *l == n);
        let mine = place(&name).unwrap_or_else(|| panic!("{name} has no place among the layers"));
        for import in imports(&path.join("Cargo.toml")) {
            let its =
                place(&import).unwrap_or_else(|| panic!("{import} has no place among the layers"));
            assert!(its < mine, "{name} imports {import}");
            // The two fronts do not know each other.
            assert!(
                import != "rushcourse-bench-adapter",
                "{name} imports {import}"
            );
            found += 1;
        }
    }
    assert!(found >= 10, "the manifests were read: {found} imports");
}

#[test]
fn the_stand_ins_import_no_package_of_the_project() {
    let manifest =
        Path::new(env!("CARGO_MANIFEST_DIR")).join("../../../examples/standin/Cargo.toml");
    assert_eq!(imports(&manifest), Vec::<String>::new());
}

/// The source files below a folder.
fn sources(folder: &Path) -> Vec<PathBuf> {
    let entries = std::fs::read_dir(folder)
        .expect("a folder")
        .map(|e| e.expect("an entry").path());
    let found = entries.flat_map(|p| if p.is_dir() { sources(&p) } else { vec![p] });
    found
        .filter(|p| p.extension().is_some_and(|e| e == "rs"))
        .collect()
}

/// A file's module path, without `crate`; the root and a folder's `mod.rs` go by their folder.
fn module(src: &Path, file: &Path) -> Vec<String> {
    let path = file
        .strip_prefix(src)
        .expect("below src")
        .with_extension("");
    let words: Vec<String> = path
        .iter()
        .map(|w| w.to_string_lossy().into_owned())
        .collect();
    let root = matches!(
        words.last().map(String::as_str),
        Some("lib" | "main" | "mod")
    );
    words[..words.len() - usize::from(root)].to_vec()
}

/// Paths that a text names from `start` on, a list in braces by its parts. Only words that begin a path count.
fn paths(text: &str, start: &str) -> Vec<Vec<String>> {
    let after = text
        .match_indices(start)
        .map(|(at, _)| &text[at + start.len()..]);
    let word = |t: &str| {
        t.chars()
            .take_while(|c| c.is_alphanumeric() || *c == '_')
            .collect::<String>()
    };
    let mut found = Vec::new();
    for rest in after {
        if let Some(list) = rest.strip_prefix('{') {
            let list = list.split('}').next().unwrap_or("");
            found.extend(list.split(',').map(|part| vec![word(part.trim())]));
        } else {
            found.push(rest.split("::").map(word).take(3).collect());
        }
    }
    found
}

/// A file's imports of files of the same package.
fn names(text: &str, mine: &[String], known: &BTreeSet<Vec<String>>) -> BTreeSet<Vec<String>> {
    let code: String = text
        .split("#[cfg(test)]\nmod ")
        .next()
        .unwrap_or("")
        .lines()
        .fold(String::new(), |a, l| {
            if l.trim_start().starts_with("//") {
                a
            } else {
                a + l + "\n"
            }
        });
    let up = &mine[..mine.len().saturating_sub(1)];
    let crates = paths(&code, "crate::");
    let supers = paths(&code, "super::")
        .into_iter()
        .map(|p| [up, &p[..]].concat());
    // A root, or a folder's `mod.rs`, names its own files without a word before them.
    let own = paths(&code, "use ")
        .into_iter()
        .map(|p| [mine, &p[..]].concat())
        .filter(|p| known.contains(&p[..mine.len() + 1]));
    // The longest part of a path that is a file's module; the root where it is none.
    let file = |path: Vec<String>| {
        (0..=path.len())
            .rev()
            .map(|n| path[..n].to_vec())
            .find(|p| known.contains(p))
    };
    crates
        .into_iter()
        .chain(supers)
        .chain(own)
        .filter_map(file)
        .filter(|p| p != mine)
        .collect()
}

/// The first circle found among who imports whom.
fn circle(graph: &BTreeMap<Vec<String>, BTreeSet<Vec<String>>>) -> Option<Vec<String>> {
    let mut left = graph.clone();
    loop {
        let free = left
            .iter()
            .find(|(_, to)| !to.iter().any(|t| left.contains_key(t)))
            .map(|(m, _)| m.clone());
        match free {
            Some(module) => drop(left.remove(&module)),
            None => return (!left.is_empty()).then(|| left.keys().map(|m| m.join("::")).collect()),
        }
    }
}

#[test]
fn no_file_of_a_package_imports_another_in_a_circle() {
    let mut found = 0;
    for package in packages() {
        let src = package.join("src");
        let files = sources(&src);
        let known: BTreeSet<Vec<String>> = files.iter().map(|f| module(&src, f)).collect();
        // A package's library and its program are both its root.
        let mut graph: BTreeMap<_, BTreeSet<_>> = BTreeMap::new();
        for file in &files {
            let (mine, text) = (
                module(&src, file),
                std::fs::read_to_string(file).expect("a file"),
            );
            let imports = names(&text, &mine, &known);
            graph.entry(mine).or_default().extend(imports);
        }
        found += graph.values().map(BTreeSet::len).sum::<usize>();
        assert_eq!(
            circle(&graph),
            None,
            "{}: these files import each other",
            src.display()
        );
    }
    assert!(found >= 40, "imports were read: {found}");
}

#[test]
fn a_circle_is_found() {
    let known: BTreeSet<Vec<String>> = [
        vec![],
        vec!["a".into()],
        vec!["b".into()],
        vec!["c".into(), "d".into()],
    ]
    .into();
    let words = |path: &str| path.split("::").map(String::from).collect::<Vec<_>>();
    let of = |text: &str, mine: &str| names(text, &words(mine), &known);
    assert_eq!(
        of("use crate::{b, c::d};\nuse crate::c::d::X;", "a"),
        [words("b"), words("c::d"), vec![]].into()
    );
    assert_eq!(
        of("// crate::a\nuse super::d;", "c::e"),
        [words("c::d")].into()
    );
    assert_eq!(
        names("mod a;\npub use a::X;", &[], &known),
        [words("a")].into(),
        "a root that hands on"
    );
    let graph = BTreeMap::from([
        (words("a"), of("use crate::b::X;", "a")),
        (words("b"), of("fn f() { crate::a::g() }", "b")),
        (words("c::d"), of("use crate::a;", "c::d")),
    ]);
    assert_eq!(
        circle(&graph),
        Some(vec!["a".to_string(), "b".into(), "c::d".into()])
    );
    let graph = BTreeMap::from([
        (words("a"), of("use crate::b::X;", "a")),
        (words("b"), BTreeSet::new()),
    ]);
    assert_eq!(circle(&graph), None);
}
