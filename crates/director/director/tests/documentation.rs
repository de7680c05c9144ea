//! Checks that Markdown pages name files and items that exist: each path and Rust name in backticks is looked up in the
//! repository.
//!
//! * A path exists if the path of a file or folder ends with it. `src` and `tests` may be omitted, as in
//!   `cluster/contact.rs`.
//! * A Rust name (`CamelCase`, `Type::method`, `snake_case` of four words or more) exists if a source file contains its
//!   last segment. `...` at the end of a name marks a prefix.
//!
//! Historical pages are skipped, since they keep the names of their time.

use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

/// Pages and folders that describe earlier versions.
const HISTORICAL_PAGES: [&str; 4] = [
    "CHANGELOG.md",
    "docs/renamed.md",
    "docs/results.md",
    "docs/incidents",
];
/// Files that operators provide, which the repository doesn't contain.
const OPERATOR_FILES: [&str; 1] = ["deploy/fronts.star"];
/// Folders that are not searched, neither for pages nor for names.
const SKIPPED_FOLDERS: [&str; 4] = ["target", ".git", "journal", "results"];
/// Extensions of the files that names are looked up in.
const SOURCE_EXTENSIONS: [&str; 6] = ["rs", "py", "toml", "proto", "star", "json"];
/// `snake_case` names with fewer words are not checked, since they may be wire fields or settings.
const MIN_WORDS: usize = 4;

/// The files and words that pages may name.
struct Repository {
    /// Paths of all files and folders, split by [`parts`].
    paths: Vec<Vec<String>>,
    /// All identifiers and words in source files.
    words: BTreeSet<String>,
    /// The concatenated source files.
    text: String,
}

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../..")
}

/// Collects all files and folders below a folder, as paths relative to the root.
fn walk(root: &Path, folder: &Path, found: &mut Vec<PathBuf>) {
    for entry in std::fs::read_dir(root.join(folder)).expect("a folder") {
        let name = entry.expect("an entry").file_name();
        if SKIPPED_FOLDERS.iter().any(|skipped| *skipped == name) {
            continue;
        }
        let path = folder.join(name);
        let is_folder = root.join(&path).is_dir();
        found.push(path.clone());
        if is_folder {
            walk(root, &path, found);
        }
    }
}

/// Splits a path into its segments, without `src` and `tests`.
fn parts(path: &str) -> Vec<String> {
    path.split('/')
        .filter(|part| !["", ".", "src", "tests"].contains(part))
        .map(str::to_string)
        .collect()
}

fn is_word_character(character: char) -> bool {
    character.is_alphanumeric() || character == '_'
}

impl Repository {
    fn read() -> Repository {
        let root = root();
        let mut found = Vec::new();
        walk(&root, Path::new(""), &mut found);
        let mut words = BTreeSet::new();
        let mut all_text = String::new();
        for path in &found {
            let extension = path.extension().unwrap_or_default();
            if SOURCE_EXTENSIONS.iter().any(|source| *source == extension) {
                let text = std::fs::read_to_string(root.join(path)).unwrap_or_default();
                words.extend(text.split(|c| !is_word_character(c)).map(str::to_string));
                all_text.push_str(&text);
            }
        }
        let texts = found.iter().map(|path| path.to_string_lossy());
        Repository {
            paths: texts.map(|path| parts(&path)).collect(),
            words,
            text: all_text,
        }
    }

    fn has_path(&self, path: &str) -> bool {
        let wanted = parts(path);
        self.paths.iter().any(|path| path.ends_with(&wanted))
    }

    fn has_word(&self, word: &str) -> bool {
        match word.strip_suffix("...") {
            Some(start) => {
                let mut from = self.words.range(start.to_string()..);
                from.next().is_some_and(|word| word.starts_with(start))
            }
            None => {
                // Metrics are counter names with a prefix and a suffix, and reasons in log lines have underscores
                // instead of the spaces in the source.
                let counter = word.strip_suffix("_total").unwrap_or(word);
                let counter = counter.strip_prefix("rushcourse_").unwrap_or(counter);
                self.words.contains(counter) || self.text.contains(&word.replace('_', " "))
            }
        }
    }

    /// Whether the text in backticks exists; also true if it is neither a path nor a Rust name.
    fn has(&self, name: &str) -> bool {
        if is_path(name) {
            OPERATOR_FILES.contains(&name) || self.has_path(name)
        } else if is_rust_name(name) {
            let last = name.rsplit("::").next().unwrap_or(name);
            self.has_word(last.trim_end_matches("()"))
        } else {
            true
        }
    }
}

/// Whether a name is a path: it ends with a known extension, or with a slash after at least two segments.
fn is_path(name: &str) -> bool {
    let is_plain = |c: char| c.is_ascii_alphanumeric() || "._-/".contains(c);
    let has_extension = [".rs", ".md", ".toml", ".py", ".star"]
        .iter()
        .any(|extension| name.ends_with(extension));
    let is_folder = name.ends_with('/') && name.matches('/').count() > 1;
    name.chars().all(is_plain) && !name.starts_with('/') && (has_extension || is_folder)
}

fn is_rust_name(name: &str) -> bool {
    let plain = name.trim_end_matches("()").trim_end_matches("...");
    if plain.is_empty() || !plain.chars().all(|c| is_word_character(c) || c == ':') {
        return false;
    }
    if plain.contains("::") {
        return true;
    }
    let starts_upper = plain.starts_with(|c: char| c.is_ascii_uppercase());
    let is_camel = starts_upper
        && plain.chars().any(|c| c.is_ascii_lowercase())
        && plain.chars().filter(char::is_ascii_uppercase).count() > 1;
    is_camel || plain.split('_').filter(|word| !word.is_empty()).count() >= MIN_WORDS
}

/// The texts in backticks on one line.
fn names_on(line: &str) -> impl Iterator<Item = &str> {
    line.split('`').skip(1).step_by(2)
}

/// Names on a page that don't exist in the repository, as `line: name`. Fenced code blocks are skipped.
fn missing_on(repository: &Repository, text: &str) -> Vec<String> {
    let mut missing = Vec::new();
    let mut is_code = false;
    for (number, line) in (1..).zip(text.lines()) {
        if line.trim_start().starts_with("```") {
            is_code = !is_code;
        }
        if !is_code {
            let not_found = names_on(line).filter(|name| !repository.has(name));
            missing.extend(not_found.map(|name| format!("{number}: {name}")));
        }
    }
    missing
}

#[test]
fn pages_name_files_and_items_that_exist() {
    let (root, repository) = (root(), Repository::read());
    let mut found = Vec::new();
    walk(&root, Path::new(""), &mut found);
    let pages = found.iter().filter(|path| {
        let is_page = path.extension().is_some_and(|extension| extension == "md");
        is_page
            && !HISTORICAL_PAGES
                .iter()
                .any(|historical| path.starts_with(historical))
    });
    let mut missing = Vec::new();
    for page in pages {
        let text = std::fs::read_to_string(root.join(page)).expect("a page");
        let not_found = missing_on(&repository, &text);
        missing.extend(
            not_found
                .iter()
                .map(|name| format!("{}:{name}", page.display())),
        );
    }
    assert!(missing.is_empty(), "\n{}", missing.join("\n"));
}

#[test]
fn missing_name_is_reported() {
    let repository = Repository {
        paths: vec![parts("crates/gateway/cluster/src/contact.rs")],
        words: ["snapshot_received", "NodeId", "a_test_of_four_words"]
            .map(String::from)
            .into(),
        text: "hosts at full capacity".into(),
    };
    let existing = "`cluster/contact.rs` `contact.rs` `Membership::snapshot_received` `NodeId` `a_test_of_...` \
                `catch_up_s` `hosts_at_full_capacity`";
    assert_eq!(missing_on(&repository, existing), Vec::<String>::new());
    for missing in [
        "cluster/kontakt.rs",
        "office.rs",
        "Membership::gone",
        "NodeName",
        "a_test_of_gone_...",
    ] {
        let line = format!("text `{missing}` text");
        assert_eq!(missing_on(&repository, &line), [format!("1: {missing}")]);
    }
}
