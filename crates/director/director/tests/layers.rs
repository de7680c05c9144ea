//! Checks the dependency structure: packages depend only on packages in lower layers, and modules of a package don't
//! import each other in cycles.

use std::collections::{BTreeMap, BTreeSet};
use std::path::{Path, PathBuf};

/// All packages, from the lowest layer to the highest.
const LAYERS: [&str; 26] = [
    "rushcourse-policy",
    "rushcourse-types",
    "rushcourse-messages",
    "rushcourse-usage",
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

/// The folders of all packages, which are `crates/<family>/<package>`.
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
        "every package is listed in LAYERS"
    );
    found
}

fn package_name(manifest: &Path) -> String {
    let text = std::fs::read_to_string(manifest).expect("a manifest");
    let name = text.lines().find_map(|line| line.strip_prefix("name = "));
    name.expect("a name").trim_matches('"').to_string()
}

/// Packages of this workspace in the manifest's `[dependencies]`.
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
        let layer = |n: &str| LAYERS.iter().position(|l| *l == n);
        let own_layer = layer(&name).unwrap_or_else(|| panic!("{name} is not in LAYERS"));
        for import in imports(&path.join("Cargo.toml")) {
            let import_layer =
                layer(&import).unwrap_or_else(|| panic!("{import} is not in LAYERS"));
            assert!(import_layer < own_layer, "{name} imports {import}");
            // The bench adapter is a program of its own, which no other package may use.
            assert!(
                import != "rushcourse-bench-adapter",
                "{name} imports {import}"
            );
            found += 1;
        }
    }
    assert!(found >= 10, "only {found} imports found in the manifests");
}

#[test]
fn stand_ins_import_no_workspace_package() {
    let manifest =
        Path::new(env!("CARGO_MANIFEST_DIR")).join("../../../examples/standin/Cargo.toml");
    assert_eq!(imports(&manifest), Vec::<String>::new());
}

/// All `.rs` files below a folder, recursively.
fn rust_files(folder: &Path) -> Vec<PathBuf> {
    let entries = std::fs::read_dir(folder)
        .expect("a folder")
        .map(|e| e.expect("an entry").path());
    let found = entries.flat_map(|p| if p.is_dir() { rust_files(&p) } else { vec![p] });
    found
        .filter(|p| p.extension().is_some_and(|e| e == "rs"))
        .collect()
}

/// A file's module path without `crate`. `lib.rs`, `main.rs` and `mod.rs` have the path of their folder.
fn module_path(src: &Path, file: &Path) -> Vec<String> {
    let path = file
        .strip_prefix(src)
        .expect("below src")
        .with_extension("");
    let words: Vec<String> = path
        .iter()
        .map(|w| w.to_string_lossy().into_owned())
        .collect();
    let is_root = matches!(
        words.last().map(String::as_str),
        Some("lib" | "main" | "mod")
    );
    words[..words.len() - usize::from(is_root)].to_vec()
}

/// Paths that follow `start` in a text, with at most three segments. A list in braces yields the first segment of each
/// of its entries.
fn named_paths(text: &str, start: &str) -> Vec<Vec<String>> {
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

/// The modules of the same package that a file imports. `own_path` is the file's module path; `known` holds the paths
/// of all modules of the package.
fn module_imports(
    text: &str,
    own_path: &[String],
    known: &BTreeSet<Vec<String>>,
) -> BTreeSet<Vec<String>> {
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
    let up = &own_path[..own_path.len().saturating_sub(1)];
    let crates = named_paths(&code, "crate::");
    let supers = named_paths(&code, "super::")
        .into_iter()
        .map(|p| [up, &p[..]].concat());
    // `use` in `lib.rs` or `mod.rs` may name a child module directly, without `crate` or `self`.
    let own = named_paths(&code, "use ")
        .into_iter()
        .map(|p| [own_path, &p[..]].concat())
        .filter(|p| known.contains(&p[..own_path.len() + 1]));
    // The longest prefix of a path that is a module; the root if there is none.
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
        .filter(|p| p != own_path)
        .collect()
}

/// The modules that are part of an import cycle or import one, or `None` if the graph is acyclic.
fn find_cycle(graph: &BTreeMap<Vec<String>, BTreeSet<Vec<String>>>) -> Option<Vec<String>> {
    let mut rest = graph.clone();
    loop {
        let without_imports = rest
            .iter()
            .find(|(_, to)| !to.iter().any(|t| rest.contains_key(t)))
            .map(|(m, _)| m.clone());
        match without_imports {
            Some(module) => drop(rest.remove(&module)),
            None => return (!rest.is_empty()).then(|| rest.keys().map(|m| m.join("::")).collect()),
        }
    }
}

#[test]
fn module_imports_are_acyclic() {
    let mut found = 0;
    for package in packages() {
        let src = package.join("src");
        let files = rust_files(&src);
        let known: BTreeSet<Vec<String>> = files.iter().map(|f| module_path(&src, f)).collect();
        // `lib.rs` and `main.rs` both have the root's path, so their imports are merged.
        let mut graph: BTreeMap<_, BTreeSet<_>> = BTreeMap::new();
        for file in &files {
            let (own_path, text) = (
                module_path(&src, file),
                std::fs::read_to_string(file).expect("a file"),
            );
            let imports = module_imports(&text, &own_path, &known);
            graph.entry(own_path).or_default().extend(imports);
        }
        found += graph.values().map(BTreeSet::len).sum::<usize>();
        assert_eq!(
            find_cycle(&graph),
            None,
            "{}: these modules import each other",
            src.display()
        );
    }
    assert!(found >= 40, "only {found} imports found");
}

#[test]
fn import_cycle_is_detected() {
    let known: BTreeSet<Vec<String>> = [
        vec![],
        vec!["a".into()],
        vec!["b".into()],
        vec!["c".into(), "d".into()],
    ]
    .into();
    let words = |path: &str| path.split("::").map(String::from).collect::<Vec<_>>();
    let of = |text: &str, own_path: &str| module_imports(text, &words(own_path), &known);
    assert_eq!(
        of("use crate::{b, c::d};\nuse crate::c::d::X;", "a"),
        [words("b"), words("c::d"), vec![]].into()
    );
    assert_eq!(
        of("// crate::a\nuse super::d;", "c::e"),
        [words("c::d")].into()
    );
    assert_eq!(
        module_imports("mod a;\npub use a::X;", &[], &known),
        [words("a")].into(),
        "a root that re-exports"
    );
    let graph = BTreeMap::from([
        (words("a"), of("use crate::b::X;", "a")),
        (words("b"), of("fn f() { crate::a::g() }", "b")),
        (words("c::d"), of("use crate::a;", "c::d")),
    ]);
    assert_eq!(
        find_cycle(&graph),
        Some(vec!["a".to_string(), "b".into(), "c::d".into()])
    );
    let graph = BTreeMap::from([
        (words("a"), of("use crate::b::X;", "a")),
        (words("b"), BTreeSet::new()),
    ]);
    assert_eq!(find_cycle(&graph), None);
}
