//! What a case sent, got and saw, in `record.txt`.

use std::{
    fs::File,
    io::Write,
    path::Path,
    sync::{Arc, Mutex},
    time::Instant,
};

use crate::worker::Run;

struct Content {
    file: File,
    runs: Vec<Run>,
    crashes: Vec<Instant>,
}

#[derive(Clone)]
pub struct Record {
    started: Instant,
    content: Arc<Mutex<Content>>,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        let file = File::create(path).expect("a file for the record");
        Self {
            started: Instant::now(),
            content: Arc::new(Mutex::new(Content {
                file,
                runs: Vec::new(),
                crashes: Vec::new(),
            })),
        }
    }

    pub fn line(&self, text: &str) {
        let at = self.started.elapsed().as_secs_f64();
        let _ = writeln!(self.content.lock().unwrap().file, "{at:8.3} {text}");
    }

    /// Writes a line to the record and to the terminal.
    pub fn say(&self, text: &str) {
        println!("{text}");
        self.line(text);
    }

    pub fn run(&self, run: Run) {
        self.line(&format!(
            "worker {} runs {} {} tenant={} prefix={} resume_from={:?} version={}",
            run.worker,
            run.attempt,
            run.target,
            run.tenant,
            run.prefix,
            run.resume_from,
            run.version
        ));
        self.content.lock().unwrap().runs.push(run);
    }

    pub fn crash(&self, worker: &str) {
        self.line(&format!("worker {worker} crashed"));
        self.content.lock().unwrap().crashes.push(Instant::now());
    }

    pub fn crashes(&self) -> Vec<Instant> {
        self.content.lock().unwrap().crashes.clone()
    }

    pub fn runs(&self) -> Vec<Run> {
        self.content.lock().unwrap().runs.clone()
    }
}
