//! `replay`: replays a recorded trace and prints its metrics.

use std::path::Path;

use eelgrassrock_ownership::replay::{self, Measures};

use crate::output::Output;

pub(crate) fn replay(path: &Path, json: bool) -> Output {
    let name = path.display();
    let trace = match std::fs::read_to_string(path) {
        Ok(trace) => trace,
        Err(error) => return Output::refused(format!("{name}: the trace can't be read: {error}")),
    };
    match replay::run(&trace) {
        Ok(outcome) if json => Output::done(format_json(&outcome.measures)),
        Ok(outcome) => Output::done(format_text(&outcome.measures, outcome.decisions.len())),
        Err(error) => Output::refused(format!("{name}: {error}")),
    }
}

fn format_text(measures: &Measures, decisions: usize) -> String {
    let Measures {
        imbalance,
        moves,
        churn,
        unavailable,
        worst_unavailable,
    } = measures;
    format!(
        "decisions: {decisions}\nimbalance: {imbalance:.2}\nmoves: {moves}\nchurn: {churn:.2}\n\
         unavailable: {} ms in sum, {} ms at worst",
        unavailable.as_millis(),
        worst_unavailable.as_millis()
    )
}

fn format_json(measures: &Measures) -> String {
    serde_json::to_string(measures).expect("numbers are valid JSON")
}
