//! What was sent, answered and run, with times since the start of the script.

use std::collections::HashMap;
use std::fs::File;
use std::io::{BufWriter, Write};
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// Begin of one run.
#[derive(Clone, Debug)]
pub struct Run {
    pub at: Duration,
    pub instance: String,
    pub service: String,
}

pub struct Record {
    started: Instant,
    file: Mutex<BufWriter<File>>,
    runs: Mutex<HashMap<String, Vec<Run>>>,
}

impl Record {
    pub fn new(path: &str) -> Self {
        Self {
            started: Instant::now(),
            file: Mutex::new(BufWriter::new(File::create(path).expect("record.txt can be written"))),
            runs: Mutex::default(),
        }
    }

    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    pub fn line(&self, text: &str) {
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:8.3} {text}", self.now().as_secs_f64());
        let _ = file.flush();
    }

    pub fn run(&self, request: &str, instance: &str, service: &str) {
        let run = Run {
            at: self.now(),
            instance: instance.into(),
            service: service.into(),
        };
        self.runs.lock().unwrap().entry(request.into()).or_default().push(run);
    }

    pub fn runs(&self, request: &str) -> Vec<Run> {
        self.runs.lock().unwrap().get(request).cloned().unwrap_or_default()
    }

    /// Returns the runs at one instance.
    pub fn runs_at(&self, instance: &str) -> Vec<(String, Run)> {
        let runs = self.runs.lock().unwrap();
        let all = runs.iter().flat_map(|(id, runs)| runs.iter().map(move |run| (id.clone(), run.clone())));
        let mut all: Vec<_> = all.filter(|(_, run)| run.instance == instance).collect();
        all.sort_by_key(|(_, run)| run.at);
        all
    }
}
