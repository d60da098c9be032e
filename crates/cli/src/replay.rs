//! `replay`: what a recorded trace comes to.

use std::path::Path;

use eelgrassrock_ownership::replay::{self, Measures};

use crate::answer::Answer;

pub(crate) fn replay(path: &Path, json: bool) -> Answer {
    let name = path.display();
    let trace = match std::fs::read_to_string(path) {
        Ok(trace) => trace,
        Err(fault) => return Answer::refused(format!("{name}: the trace can't be read: {fault}")),
    };
    match replay::run(&trace) {
        Ok(outcome) if json => Answer::done(show_json(&outcome.measures)),
        Ok(outcome) => Answer::done(show(&outcome.measures, outcome.decisions.len())),
        Err(fault) => Answer::refused(format!("{name}: {fault}")),
    }
}

fn show(measures: &Measures, decisions: usize) -> String {
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

fn show_json(measures: &Measures) -> String {
    serde_json::to_string(measures).expect("numbers are valid JSON")
}
