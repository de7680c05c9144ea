//! Enforces the size limits of the policy files that the deployment lists.

use std::path::Path;

#[test]
fn policy_files_stay_within_size_limits() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../..");
    let deploy = std::fs::read_to_string(root.join("deploy/balancer.toml")).expect("the deploy file");
    let policy = deploy.lines().find(|l| l.starts_with("policy")).expect("a policy line");
    let files: Vec<&str> = policy.split('"').skip(1).step_by(2).collect();
    assert_eq!(files.len(), 7, "{files:?}");
    let mut lines = 0;
    for file in files {
        let text = std::fs::read_to_string(root.join(file)).expect("a policy file");
        for line in text.lines().filter(|l| !l.trim().is_empty()) {
            lines += 1;
            assert!(line.chars().count() <= 110, "{file}: {line}");
        }
    }
    assert!(lines <= 780, "{lines} lines that are not blank");
}
