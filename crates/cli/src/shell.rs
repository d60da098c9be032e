//! `completions` and `man`: print shell completions and the manual page.

use clap_complete::Shell;

use crate::flags;
use crate::output::Output;

pub(crate) fn completions(shell: Shell) -> Output {
    let mut text = Vec::new();
    clap_complete::generate(shell, &mut flags::command(), "eelgrassrock", &mut text);
    Output::done(String::from_utf8_lossy(&text))
}

pub(crate) fn man() -> Output {
    let mut text = Vec::new();
    match clap_mangen::Man::new(flags::command().flatten_help(true)).render(&mut text) {
        Ok(()) => Output::done(String::from_utf8_lossy(&text)),
        Err(error) => Output::refused(format!("the manual page can't be rendered: {error}")),
    }
}
