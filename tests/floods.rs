//! Tests that clients which send at full speed take a bounded part of the proxy, whatever they send: ordinary
//! clients on both listeners, health checks and operators are answered by their deadlines.

use liftrelay_soak::flood::messages::all_kinds;
use liftrelay_soak::flood::{Play, PlayResult};
use std::path::Path;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

/// The plays use all cores, one after the other.
static MACHINE: Mutex<()> = Mutex::new(());

fn play_once(play: &Play) -> PlayResult {
    let _alone = MACHINE.lock().unwrap_or_else(PoisonError::into_inner);
    let folder = std::env::temp_dir().join(format!("liftrelay-floods-{}", std::process::id()));
    let result = play.run(Path::new(env!("CARGO_BIN_EXE_liftrelay")), &folder).unwrap();
    let _ = std::fs::remove_dir_all(&folder);
    result
}

fn assert_holds(play: &Play) {
    let result = play_once(play);
    assert!(result.findings.is_empty(), "{}\n{play:?}\n{:#?}", result.summary(), result.findings);
}

/// Guards against packets of a connection's start that are reported to the event loop without a limit: those
/// of six clients filled its queue, and the requests of all others stayed in their sockets.
#[test]
fn encryption_requests_at_full_speed_delay_no_other_client() {
    Play::of_encryption_requests().iter().for_each(assert_holds);
}

/// Guards against the next kind of message that costs the others more than a bounded part: the kinds come from
/// the parser's tables, and each of them is played once.
#[test]
fn floods_of_all_kinds_of_messages_leave_the_others_their_part() {
    let kinds = all_kinds().len() as u64;
    (1..=kinds).map(Play::draw).for_each(|play| assert_holds(&play));
}

/// Guards against plays whose judge overlooks delays.
#[test]
fn planted_stop_of_the_proxy_is_found() {
    let planted_stop = Some(Duration::from_millis(900));
    let play = Play { planted_stop, ..Play::of_flood(None) };
    let findings = play_once(&play).findings;
    assert!(findings.iter().any(|finding| finding.contains("355ms")), "{findings:?}");
}
