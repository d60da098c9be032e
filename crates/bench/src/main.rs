//! Command-line program that prints the capacity measurements.

use std::process::ExitCode;

use eelgrassrock_bench::{cpu, flags, memory};

#[global_allocator]
static ALLOCATOR: memory::CountingAllocator = memory::CountingAllocator;

fn main() -> ExitCode {
    let matches = flags::command().get_matches();
    let arguments = match flags::check(&matches) {
        Ok(arguments) => arguments,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(2);
        }
    };
    println!(
        "reference work: best time {:.1} us on this machine, {:.1} us on the reference machine",
        cpu::best_reference_time().as_secs_f64() * 1e6,
        cpu::REFERENCE_TIME.as_secs_f64() * 1e6
    );
    for part in arguments.parts {
        for series in part.measure() {
            println!("{series}");
        }
    }
    ExitCode::SUCCESS
}
