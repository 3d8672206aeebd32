//! The stand-ins of the review's cases: `standins CASE ROOT FOLDER TEMPORARY`. With `TROUBLE=0` in the
//! environment, the case runs without its disruption. The program exits with 1 if the rule was broken, 0 if it
//! held, and 2 if the case could not run.

mod change;
mod common;
mod config;
mod discovery;
mod drain;
mod flood;
mod member;
mod mixed;
mod stale;

use common::{Arguments, cannot_run};

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, root, folder, temporary] = &arguments[..] else { cannot_run("CASE ROOT FOLDER TEMPORARY") };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let arguments =
        Arguments { folder: folder.into(), temporary: temporary.into(), root: root.into(), trouble };
    // A case ends within 120 s, whatever the proxy does.
    std::thread::spawn(|| {
        std::thread::sleep(std::time::Duration::from_secs(110));
        cannot_run("it took over 110 s")
    });
    let code = match case.as_str() {
        "browse" => stale::run(&arguments, &stale::KEELUNG_BROWSE),
        "change" => change::run(&arguments),
        "drain" => drain::run(&arguments),
        "flood" => flood::run(&arguments),
        "mixed" => mixed::run(&arguments),
        "stale" => stale::run(&arguments, &stale::PORT_LOUIS),
        "batch" => stale::run(&arguments, &stale::KEELUNG_BATCH),
        _ => cannot_run("no such case"),
    };
    std::process::exit(code);
}
