//! Binary of the operators' command line.

use anyhow::{Context, Result};

mod flags {
    #![allow(missing_docs, unreachable_pub, clippy::unwrap_used)]
    use std::path::PathBuf;

    xflags::xflags! {
        /// Checks and applies declarations of a jasminewall fleet.
        cmd jasminectl {
            /// Check a declaration file.
            cmd check {
                /// Declarations, a TOML file.
                required file: PathBuf
            }
        }
    }
}

fn main() -> Result<()> {
    let command = flags::Jasminectl::from_env_or_exit();
    match command.subcommand {
        flags::JasminectlCmd::Check(check) => {
            let text = std::fs::read_to_string(&check.file)
                .with_context(|| format!("cannot read {}", check.file.display()))?;
            let records = jasminewall_ctl::check(&text)?;
            println!(
                "{}: {} records are valid",
                check.file.display(),
                records.len()
            );
        }
    }
    Ok(())
}
