//! `completions` and `man`.

use clap_complete::Shell;

use crate::answer::Answer;
use crate::flags;

pub(crate) fn completions(shell: Shell) -> Answer {
    let mut text = Vec::new();
    clap_complete::generate(shell, &mut flags::command(), "eelgrassrock", &mut text);
    Answer::done(String::from_utf8_lossy(&text))
}

pub(crate) fn man() -> Answer {
    let mut text = Vec::new();
    match clap_mangen::Man::new(flags::command().flatten_help(true)).render(&mut text) {
        Ok(()) => Answer::done(String::from_utf8_lossy(&text)),
        Err(error) => Answer::refused(format!("the page can't be rendered: {error}")),
    }
}
