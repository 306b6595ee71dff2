//! Command line `jasminectl`.

use std::{
    path::{Path, PathBuf},
    process::ExitCode,
    time::Duration,
};

use {
    anyhow::{Context, Result},
    jasminewall_ctl::{
        ApplyOptions, CommandReport, ControlClient, ControlSetting, DeclarationFile, DrainAction,
        Error, ExitKind, TopUpPayment, check, hash_key,
    },
    serde_json::json,
};

mod flags {
    #![allow(missing_docs, unreachable_pub, clippy::unwrap_used)]
    use std::path::PathBuf;

    xflags::xflags! {
        /// Checks, applies and explains the configuration and the budgets of a jasminewall fleet.
        ///
        /// Exit codes: 0 done, 1 refused or invalid, 2 usage, 3 conflict with another operator,
        /// 4 the platform or a router cannot be reached.
        cmd jasminectl {
            /// Settings, an INI file; jasminectl.ini by default.
            optional --settings settings: PathBuf
            /// Print JSON.
            optional --json

            /// Check declaration files and report all errors.
            /// Example: jasminectl check customers.toml endpoints.toml
            cmd check {
                /// Declarations, TOML files.
                repeated files: PathBuf
                /// Check against the configuration in force as well.
                optional --online
            }
            /// Show what apply would change.
            /// Example: jasminectl diff fleet.toml
            cmd diff {
                /// Declarations, TOML files.
                repeated files: PathBuf
                /// Record to remove, as kind/name.
                repeated --remove record: String
            }
            /// Apply declarations atomically; applying them again changes nothing.
            /// Example: jasminectl apply fleet.toml --base 41
            cmd apply {
                /// Declarations, TOML files.
                repeated files: PathBuf
                /// Record to remove, as kind/name.
                repeated --remove record: String
                /// Revision that diff showed; apply fails with a conflict if another revision is in force.
                optional --base revision: u64
            }
            /// Print the configuration in force as declarations.
            /// Example: jasminectl get endpoint engine-a1
            cmd get {
                /// Kind of record.
                optional kind: String
                /// Name of the record.
                optional name: String
            }
            /// Pay tokens into a budget; repeating a payment with the same id has no effect.
            /// Example: jasminectl top-up parish-2026 250000 --id invoice-118
            cmd top-up {
                /// Budget that the tokens are paid into.
                required budget: String
                /// Tokens paid in; use --take to take free tokens back.
                required amount: u64
                /// Id of the payment.
                required --id id: String
                /// Take free tokens back instead.
                optional --take
            }
            /// Keep new work off an endpoint or a failure domain.
            /// Example: jasminectl drain --leaving engine-a1
            /// Example: jasminectl drain --stop roof-works --failure-domain domain-a --from 1767225600 --until 1767229200
            cmd drain {
                /// Endpoint to take out of service for good.
                optional --leaving endpoint: String
                /// Leaving endpoint to put back into service.
                optional --returning endpoint: String
                /// Name of a planned stop.
                optional --stop name: String
                /// Endpoint to stop.
                optional --endpoint endpoint: String
                /// Failure domain to stop.
                optional --failure-domain domain: String
                /// Start of the stop, in seconds since the Unix epoch.
                optional --from seconds: u64
                /// End of the stop, in seconds since the Unix epoch.
                optional --until seconds: u64
                /// Minimum share of the slots of each route that must stay available, in percent; 50 by default.
                optional --remaining percent: u32
            }
            /// Explain the outcome of a request in one sentence.
            /// Example: jasminectl explain vm-1-00f3a29be1c07d55
            cmd explain {
                /// Id of the request, from the header x-jasminewall-request.
                required request: String
            }
            /// Show how the tokens of each budget are distributed, and whether they add up.
            /// Example: jasminectl ledger parish-2026
            cmd ledger {
                /// Budget.
                optional budget: String
            }
            /// Show which VMs have the newest revision in force.
            /// Example: jasminectl status --wait 16
            cmd status {
                /// Seconds to wait at most until all VMs have the newest revision in force.
                optional --wait seconds: u64
            }
            /// Print the SHA-256 of a caller key, read from standard input.
            /// Example: jasminectl hash-key < key.txt
            cmd hash-key {}
        }
    }
}

use flags::{Drain, Jasminectl, JasminectlCmd};

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let command = Jasminectl::from_env_or_exit();
    let json = command.json;
    let exit = match run(command).await {
        Ok(report) => {
            println!(
                "{}",
                if json {
                    report.json.to_string()
                } else {
                    report.text
                }
            );
            report.exit
        }
        Err(error) => {
            let exit = error.downcast_ref().map_or(ExitKind::Usage, Error::exit);
            let text = format!("{error:#}");
            if json {
                println!("{}", json!({"error": text, "exit": exit as u8}));
            } else {
                eprintln!("{text}");
            }
            exit
        }
    };
    ExitCode::from(exit as u8)
}

async fn run(command: Jasminectl) -> Result<CommandReport> {
    let settings = command.settings.clone();
    let client = || connect(settings.as_deref());
    Ok(match command.subcommand {
        JasminectlCmd::Check(args) if !args.online => check(&read_files(&args.files)?)?,
        JasminectlCmd::Check(args) => client()?.check(&read_files(&args.files)?).await?,
        JasminectlCmd::Diff(args) => {
            let options = ApplyOptions {
                base: None,
                remove: args.remove,
            };
            client()?
                .diff(&read_unless_removing(&args.files, &options)?, &options)
                .await?
        }
        JasminectlCmd::Apply(args) => {
            let options = ApplyOptions {
                base: args.base,
                remove: args.remove,
            };
            client()?
                .apply(&read_unless_removing(&args.files, &options)?, &options)
                .await?
        }
        JasminectlCmd::Get(args) => {
            let client = client()?;
            client
                .get(args.kind.as_deref(), args.name.as_deref())
                .await?
        }
        JasminectlCmd::TopUp(args) => {
            let amount = i64::try_from(args.amount).context("the amount is too large")?;
            let payment = TopUpPayment {
                id: args.id,
                budget: args.budget,
                amount: if args.take { -amount } else { amount },
            };
            client()?.top_up(&payment).await?
        }
        JasminectlCmd::Drain(args) => client()?.drain(&drain_action(args)?).await?,
        JasminectlCmd::Explain(args) => client()?.explain(&args.request).await?,
        JasminectlCmd::Ledger(args) => client()?.ledger(args.budget.as_deref()).await?,
        JasminectlCmd::Status(args) => {
            let wait = args.wait.map(Duration::from_secs);
            client()?.status(wait).await?
        }
        JasminectlCmd::HashKey(_) => hash_stdin()?,
    })
}

fn connect(path: Option<&Path>) -> Result<ControlClient> {
    let path = path.unwrap_or(Path::new("jasminectl.ini"));
    let text = std::fs::read_to_string(path).with_context(|| {
        format!(
            "cannot read the settings file {}; pass its path with --settings",
            path.display()
        )
    })?;
    Ok(ControlSetting::from_ini(&path.display().to_string(), &text)?.client()?)
}

fn read_files(files: &[PathBuf]) -> Result<Vec<DeclarationFile>> {
    anyhow::ensure!(!files.is_empty(), "pass at least one declaration file");
    let read = |path: &PathBuf| {
        let text = std::fs::read_to_string(path);
        let text = text.with_context(|| format!("cannot read {}", path.display()))?;
        Ok(DeclarationFile::new(path.display().to_string(), text))
    };
    files.iter().map(read).collect()
}

/// Reads declaration files; a command that removes records may have none.
fn read_unless_removing(files: &[PathBuf], options: &ApplyOptions) -> Result<Vec<DeclarationFile>> {
    if files.is_empty() && !options.remove.is_empty() {
        return Ok(Vec::new());
    }
    read_files(files)
}

fn drain_action(args: Drain) -> Result<DrainAction> {
    Ok(match (args.leaving, args.returning, args.stop) {
        (Some(endpoint), None, None) => DrainAction::Leaving(endpoint),
        (None, Some(endpoint), None) => DrainAction::Returning(endpoint),
        (None, None, Some(name)) => DrainAction::Stop {
            name,
            endpoint: args.endpoint,
            failure_domain: args.failure_domain,
            from: args.from.context("--stop requires --from")?,
            until: args.until.context("--stop requires --until")?,
            remaining_percent: args.remaining.unwrap_or(50),
        },
        _ => {
            anyhow::bail!(
                "pass exactly one of --leaving, --returning and --stop; see 'jasminectl --help'"
            )
        }
    })
}

fn hash_stdin() -> Result<CommandReport> {
    let mut key = String::new();
    std::io::stdin().read_line(&mut key)?;
    anyhow::ensure!(
        !key.trim().is_empty(),
        "the key is empty; pass it on standard input"
    );
    let hash = hash_key(&key);
    Ok(CommandReport {
        exit: ExitKind::Success,
        json: json!({"sha256": hash}),
        text: hash,
    })
}
