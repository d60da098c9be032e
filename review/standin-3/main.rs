//! Cases of the third review that run on the real clock: `standin-3 CASE RECORD FOLDER`.
//!
//! Exits with 0 if the rule held, 1 if it was broken, and 2 if the case couldn't run.

mod endless;
mod holder;
mod http;
mod json;
mod link;
mod record;
mod restore;
mod router;
mod store;
mod upstream;
mod writer;

use std::io;
use std::process::ExitCode;

use record::Record;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, record, folder] = &arguments[..] else {
        eprintln!("usage: standin-3 CASE RECORD FOLDER");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let result = Record::create(record).and_then(|record| match &**case {
        "endless" => endless::run(&record, folder, has_trouble),
        "restore" => restore::run(&record, folder, has_trouble),
        "writer" => writer::run(&record, folder, has_trouble),
        _ => Err(io::Error::other("no such case")),
    });
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(error) => {
            eprintln!("the case couldn't run: {error}");
            ExitCode::from(2)
        }
    }
}
