//! Cases of the review, each played with the project's own program and stand-ins for all else.
//!
//! `standin-2 CASE RECORD` exits with 1 if the rule was broken, with 0 if it held, and with 2 if the
//! case couldn't run. `TROUBLE=0` leaves out the disruption.

mod blind;
mod http;
mod lapsed;
mod platform;
mod record;
mod rolled;
mod router;
mod stalled;
mod world;

use std::process::exit;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, path] = &arguments[..] else {
        eprintln!("usage: standin-2 CASE RECORD");
        exit(2);
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let play = match &**case {
        "rolled" => rolled::play,
        "blind" => blind::play,
        "lapsed" => lapsed::play,
        "stalled" => stalled::play,
        _ => {
            eprintln!("unknown case {case}");
            exit(2);
        }
    };
    router::watch();
    let path = path.clone();
    let end = std::thread::spawn(move || play(&path, has_trouble)).join();
    exit(match end {
        Ok(Some(true)) => 1,
        Ok(Some(false)) => 0,
        Ok(None) | Err(_) => 2,
    });
}
