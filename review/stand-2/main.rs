//! Stand-ins and cases of the second review: `stand CASE RECORD` plays a case, writes its record to
//! that file and exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
//! With `TROUBLE=0` in the environment it plays the case without its disruption.

#![allow(dead_code)]

mod fleet;
mod hostile_crowd;
mod http;
mod json;
mod other_writer;
mod paused_streams;
mod slow_caller;
mod store;
mod truncated_error;
mod worker;

use std::{
    path::{Path, PathBuf},
    process::ExitCode,
};

use fleet::Record;

/// Result of a case.
pub enum Verdict {
    Held,
    Broken,
}

/// What a case needs.
pub struct Setup {
    /// Root of the repository.
    pub root: PathBuf,
    pub record: Record,
    /// Whether the disruption is played.
    pub has_trouble: bool,
}

fn run(case: &str, path: &Path) -> Result<Verdict, String> {
    let root = std::env::current_dir().map_err(|error| error.to_string())?;
    let record = Record::create(path).map_err(|error| error.to_string())?;
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let setup = Setup {
        root,
        record,
        has_trouble,
    };
    setup
        .record
        .tell(&format!("case {case}, trouble: {has_trouble}"));
    let outcome = match case {
        "other-writer" => other_writer::play(&setup),
        "paused-streams" => paused_streams::play(&setup),
        "hostile-crowd" => hostile_crowd::play(&setup),
        "slow-caller" => slow_caller::play(&setup),
        "truncated-error" => truncated_error::play(&setup),
        _ => Err(format!("there is no case '{case}'")),
    };
    match &outcome {
        Ok(Verdict::Held) => setup.record.tell("the rule held"),
        Ok(Verdict::Broken) => setup.record.tell("the rule was broken"),
        Err(error) => setup
            .record
            .tell(&format!("the case could not run: {error}")),
    }
    outcome
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, path] = arguments.as_slice() else {
        eprintln!("usage: stand CASE RECORD");
        return ExitCode::from(2);
    };
    match run(case, Path::new(path)) {
        Ok(Verdict::Held) => ExitCode::SUCCESS,
        Ok(Verdict::Broken) => ExitCode::from(1),
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(2)
        }
    }
}
