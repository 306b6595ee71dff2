//! Passes the commit of the sources to the program, so that logs name the build that they are from.

use std::process::Command;

/// Commit of a build whose sources are in no repository, or without git.
const UNKNOWN_COMMIT: &str = "unknown";

fn main() {
    let commit = git(&["rev-parse", "--short=10", "HEAD"]);
    let changed = git(&[
        "status",
        "--porcelain",
        "--",
        "../../crates",
        "../../platform",
    ]);
    let commit = match (commit, changed) {
        (Some(commit), Some(changed)) if changed.is_empty() => commit,
        (Some(commit), _) => format!("{commit}-changed"),
        (None, _) => UNKNOWN_COMMIT.to_owned(),
    };
    println!("cargo::rustc-env=JASMINEWALL_COMMIT={commit}");
    // Cargo would otherwise build again only if a file of this package changes.
    let git_files = ["HEAD", "logs/HEAD"].map(|name| git(&["rev-parse", "--git-path", name]));
    let sources = ["../../crates", "../../platform"].map(|path| Some(path.to_owned()));
    for path in git_files.into_iter().chain(sources).flatten() {
        // A path that does not exist would lead to a build each time.
        if std::fs::exists(&path).unwrap_or_default() {
            println!("cargo::rerun-if-changed={path}");
        }
    }
}

/// Runs git in the folder of this package. Returns what it prints, or `None` if it fails.
fn git(arguments: &[&str]) -> Option<String> {
    let output = Command::new("git").args(arguments).output().ok()?;
    let text = String::from_utf8(output.stdout).ok()?;
    output.status.success().then(|| text.trim().to_owned())
}
