//! Program that measures eelgrassrock.

use std::process::ExitCode;

use eelgrassrock_bench::{cpu, flags, memory};

#[global_allocator]
static ALLOCATOR: memory::Counter = memory::Counter;

fn main() -> ExitCode {
    let raw = flags::command().get_matches();
    let job = match flags::check(&raw) {
        Ok(job) => job,
        Err(fault) => {
            eprintln!("{fault}");
            return ExitCode::from(2);
        }
    };
    println!(
        "reference work: {:.1} us at best now, {:.1} us on the page",
        cpu::speed().as_secs_f64() * 1e6,
        cpu::REFERENCE.as_secs_f64() * 1e6
    );
    for part in job.parts {
        for series in part.measure() {
            println!("{series}");
        }
    }
    ExitCode::SUCCESS
}
