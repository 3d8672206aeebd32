//! The command line of the soak.

use argh::FromArgs;
use liftrelay_soak::checker::{check, summary};
use liftrelay_soak::flood::Play;
use liftrelay_soak::history::SECOND;
use liftrelay_soak::report::{report, timeline};
use liftrelay_soak::run::play;
use liftrelay_soak::scenario::{Action, Scenario};
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};

/// Plays faults on real proxies on loopback, and checks the rules.
#[derive(FromArgs)]
struct Arguments {
    /// the seeds, as in 1..50 (1 unless given)
    #[argh(option, from_str_fn(parse_seeds), default = "(1, 1)")]
    seeds: (u64, u64),
    /// the program of the proxy
    #[argh(option)]
    program: PathBuf,
    /// runs side by side (2 unless given)
    #[argh(option, default = "2")]
    jobs: usize,
    /// play a flood of each seed in place of its scenario
    #[argh(switch)]
    floods: bool,
    /// play the floods of encryption requests of 2026-12-05, and no seeds
    #[argh(switch)]
    encryption_requests: bool,
    /// show what was done and which requests were not served, second by second
    #[argh(switch)]
    show: bool,
    /// a fault to plant, which the checker has to find: swallowed-changes, mixed-values, hidden-lag, long-stop, crash
    #[argh(option, from_str_fn(parse_plant))]
    plant: Option<Action>,
}

/// Time in the run at which a planted fault is injected.
const PLANT_AT: u64 = 2 * SECOND;
/// The most findings of one flood that are printed.
const MAX_SHOWN_FINDINGS: usize = 8;

fn parse_seeds(text: &str) -> Result<(u64, u64), String> {
    let (first, last) = text.split_once("..").unwrap_or((text, text));
    let number =
        |text: &str| text.parse().map_err(|_| format!("expected a seed (an unsigned integer), got {text:?}"));
    let (first, last) = (number(first)?, number(last)?);
    if first <= last {
        Ok((first, last))
    } else {
        Err("expected FIRST..LAST with FIRST not above LAST".into())
    }
}

fn parse_plant(text: &str) -> Result<Action, String> {
    match text {
        "swallowed-changes" => Ok(Action::PlantSwallowedChanges),
        "mixed-values" => Ok(Action::PlantMixedValues),
        "hidden-lag" => Ok(Action::PlantHiddenLag),
        "long-stop" => Ok(Action::PlantLongStop),
        "crash" => Ok(Action::PlantCrash),
        _ => Err(format!(
            "expected swallowed-changes, mixed-values, hidden-lag, long-stop or crash, got {text:?}"
        )),
    }
}

fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    if arguments.encryption_requests {
        let plays = Play::of_encryption_requests();
        let broken = plays.iter().filter(|play| !show_flood(&arguments, play, "encryption requests")).count();
        return if broken == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE };
    }
    let (first, last) = arguments.seeds;
    let next = AtomicU64::new(first);
    let broken = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..arguments.jobs.max(1) {
            scope.spawn(|| {
                loop {
                    let seed = next.fetch_add(1, Ordering::SeqCst);
                    if seed > last {
                        return;
                    }
                    let holds = match arguments.floods {
                        true => play_flood(&arguments, seed),
                        false => play_seed(&arguments, seed),
                    };
                    if !holds {
                        broken.lock().unwrap().push(seed);
                    }
                }
            });
        }
    });
    let mut broken = broken.into_inner().unwrap();
    broken.sort_unstable();
    println!("soak: {} seeds played, {} with findings {broken:?}", last - first + 1, broken.len());
    if broken.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

/// Plays the flood of a seed, and prints its figures and findings. Returns `true` if there are none.
fn play_flood(arguments: &Arguments, seed: u64) -> bool {
    show_flood(arguments, &Play::draw(seed), &format!("seed {seed}"))
}

/// Plays a flood, and prints its figures and findings. Returns `true` if it could be played and there are
/// none.
fn show_flood(arguments: &Arguments, play: &Play, name: &str) -> bool {
    let folder = std::env::temp_dir().join(format!("liftrelay-flood-{}-{}", std::process::id(), play.seed));
    let played = play.run(&arguments.program, &folder);
    let _ = std::fs::remove_dir_all(&folder);
    match played {
        Ok(result) => {
            println!("{name}: {}", result.summary());
            if arguments.show || !result.findings.is_empty() {
                println!("  {play:?}\n  {}", result.counters);
            }
            result.findings.iter().take(MAX_SHOWN_FINDINGS).for_each(|finding| println!("  {finding}"));
            result.findings.is_empty()
        }
        Err(error) => {
            println!("{name}: the flood could not be played: {error}");
            false
        }
    }
}

/// Plays the run of a seed and prints its summary and findings. Returns `true` if the run could be played and
/// each finding, if any, is marked unclear.
fn play_seed(arguments: &Arguments, seed: u64) -> bool {
    let mut scenario = Scenario::draw(seed);
    if let Some(plant) = arguments.plant {
        scenario.actions.push((PLANT_AT, plant));
        scenario.actions.sort_by_key(|(at, _)| *at);
    }
    let folder = std::env::temp_dir().join(format!("liftrelay-soak-{}-{seed}", std::process::id()));
    let played = play(&scenario, &arguments.program, &folder);
    let _ = std::fs::remove_dir_all(&folder);
    match played {
        Ok(run) => {
            let findings = check(&scenario, &run.history);
            println!("seed {seed}: {}", summary(&run.history));
            if arguments.show {
                print!("{}", timeline(&run.history));
            }
            if !findings.is_empty() {
                print!("{}", report(&scenario, &run.history, &run.proxies, &findings));
            }
            findings.iter().all(|finding| finding.unclear)
        }
        Err(error) => {
            println!("seed {seed}: the run could not be played: {error}");
            false
        }
    }
}
