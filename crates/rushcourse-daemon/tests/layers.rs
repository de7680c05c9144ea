//! Packages import downward only, so that no two import each other in a circle.

use std::path::Path;

/// From the bottom up.
const LAYERS: [&str; 6] = [
    "rushcourse-core",
    "rushcourse-settings",
    "rushcourse-protocol",
    "rushcourse-reducer",
    "rushcourse-wirehost",
    "rushcourse-daemon",
];

fn imports(manifest: &Path) -> Vec<String> {
    let text = std::fs::read_to_string(manifest).expect("a manifest");
    let after = text.split("\n[dependencies]\n").nth(1).unwrap_or("");
    let section = after.split("\n[").next().unwrap_or("");
    let names = section.lines().filter_map(|l| l.split([' ', '=', '.']).next());
    names.filter(|n| n.starts_with("rushcourse-")).map(String::from).collect()
}

#[test]
fn no_package_imports_upward() {
    let crates = Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
    let mut found = 0;
    for entry in std::fs::read_dir(&crates).expect("the packages") {
        let path = entry.expect("a package").path();
        let name = path.file_name().expect("a name").to_string_lossy().into_owned();
        let place = |n: &str| LAYERS.iter().position(|l| *l == n);
        let mine = place(&name).unwrap_or_else(|| panic!("{name} has no place among the layers"));
        for import in imports(&path.join("Cargo.toml")) {
            let its = place(&import).unwrap_or_else(|| panic!("{import} has no place among the layers"));
            assert!(its < mine, "{name} imports {import}");
            // The two fronts do not know each other.
            assert!(import != "rushcourse-wirehost", "{name} imports {import}");
            found += 1;
        }
    }
    assert!(found >= 10, "the manifests were read: {found} imports");
}

#[test]
fn the_stand_ins_import_no_package_of_the_project() {
    let manifest = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/standin/Cargo.toml");
    assert_eq!(imports(&manifest), Vec::<String>::new());
}
