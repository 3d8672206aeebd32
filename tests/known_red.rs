//! Tests of `.ci/known-red`, which decides what CI passes over.

#![allow(missing_docs)]

use std::os::unix::fs::PermissionsExt;
use std::path::Path;
use std::process::Command;

/// Stands in for cargo: the list of tests.
const CARGO: &str = "#!/bin/sh\necho 'a::known_test: test'\necho 'a::other_test: test'\n";

/// Runs the script on a list of known failures, and returns what it prints, or `None` if it fails.
fn arguments_for(case: usize, list: &str) -> Option<String> {
    let folder = std::env::temp_dir().join(format!("liftrelay-known-red-{}-{case}", std::process::id()));
    std::fs::create_dir_all(folder.join(".ci")).unwrap();
    let script = Path::new(env!("CARGO_MANIFEST_DIR")).join(".ci/known-red");
    std::fs::copy(script, folder.join(".ci/known-red")).unwrap();
    std::fs::write(folder.join("KNOWN-RED.txt"), list).unwrap();
    std::fs::write(folder.join("case.sh"), "").unwrap();
    std::fs::write(folder.join("cargo"), CARGO).unwrap();
    std::fs::set_permissions(folder.join("cargo"), std::fs::Permissions::from_mode(0o755)).unwrap();
    let path = format!("{}:{}", folder.display(), std::env::var("PATH").unwrap());
    let output = Command::new("bash").arg(folder.join(".ci/known-red")).env("PATH", path).output().unwrap();
    std::fs::remove_dir_all(folder).unwrap();
    output.status.success().then(|| String::from_utf8(output.stdout).unwrap().trim().to_string())
}

/// Guards against a list that makes CI pass over a test that it does not name, or over one without a reason.
#[test]
fn exactly_the_named_tests_are_passed_over_and_anything_else_fails() {
    let entry = |test: &str| format!("test: {test}\ncommand: c\nseen: s\nissue: 7\n");
    let known = entry("a::known_test");
    let cases = [
        ("".to_string(), Some("")),
        (known.clone(), Some("--skip a::known_test")),
        (format!("{known}\n\n{}", entry("a::other_test")), Some("--skip a::known_test --skip a::other_test")),
        (entry("case.sh --seeds 3"), Some("")),
        (entry("a::known"), None),
        (entry("no.sh"), None),
        (known.replace("issue: 7", "issue: seven"), None),
        (known.replace("issue: 7\n", ""), None),
        (known.replace("seen: s", "seen: "), None),
        (known.replace("command: c\n", ""), None),
        (format!("{known}more: x\n"), None),
        (format!("a::known_test, a reason, 7\n{known}"), None),
    ];
    for (case, (list, expected)) in cases.into_iter().enumerate() {
        assert_eq!(arguments_for(case, &list).as_deref(), expected, "{list}");
    }
}
