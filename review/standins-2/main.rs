//! The stand-ins of the cases 6 to 10: clients, members and discovery, and the checks of the cases.
//!
//! `standins-2 CASE` plays a case in its folder `review/CASE`. It exits with 1 if the rule was broken, with 0 if it
//! held and with 2 if the case could not run. With `TROUBLE=0` in the environment the disruption is left out.

mod case_foreign_statement;
mod case_forgotten_commit;
mod case_keyed_twice;
mod case_refused_after_run;
mod case_unanswered_at_exit;
mod client;
mod discovery;
mod member;
mod process;
mod record;
mod settings;
mod wire;

use record::Record;
use std::process::ExitCode;

/// The result of a case.
pub enum Verdict {
    Held,
    Broken,
    CouldNotRun(String),
}

fn main() -> ExitCode {
    let case = std::env::args().nth(1).unwrap_or_default();
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Record::create(&format!("review/{case}/record.txt"));
    record.line(format!("case {case}, disruption: {trouble}"));
    let verdict = match case.as_str() {
        "6" => case_unanswered_at_exit::play(&record, trouble),
        "7" => case_refused_after_run::play(&record, trouble),
        "8" => case_foreign_statement::play(&record, trouble),
        "9" => case_keyed_twice::play(&record, trouble),
        "10" => case_forgotten_commit::play(&record, trouble),
        _ => Verdict::CouldNotRun(format!("no case {case}")),
    };
    match verdict {
        Verdict::Held => {
            record.say("the rule held");
            ExitCode::SUCCESS
        }
        Verdict::Broken => {
            record.say("THE RULE WAS BROKEN");
            ExitCode::from(1)
        }
        Verdict::CouldNotRun(why) => {
            record.say(format!("the case could not run: {why}"));
            ExitCode::from(2)
        }
    }
}
