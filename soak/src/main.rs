//! The command line of the soak.

use argh::FromArgs;
use liftrelay_soak::checker::{check, summary};
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
    /// the seeds, as in 1..50
    #[argh(option, from_str_fn(parse_seeds))]
    seeds: (u64, u64),
    /// the program of the proxy
    #[argh(option)]
    program: PathBuf,
    /// runs side by side (2 unless given)
    #[argh(option, default = "2")]
    jobs: usize,
    /// show what was done and which requests were not served, second by second
    #[argh(switch)]
    show: bool,
    /// a fault to plant, which the checker has to find: swallowed-changes, mixed-values, long-stop, crash
    #[argh(option, from_str_fn(parse_plant))]
    plant: Option<Action>,
}

/// Time in the run at which a planted fault is injected.
const PLANT_AT: u64 = 2 * SECOND;

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
        "long-stop" => Ok(Action::PlantLongStop),
        "crash" => Ok(Action::PlantCrash),
        _ => Err(format!("expected swallowed-changes, mixed-values, long-stop or crash, got {text:?}")),
    }
}

fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
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
                    if !play_seed(&arguments, seed) {
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
