//! Tests that clients which send at full speed take a bounded part of the proxy, whatever they send: ordinary
//! clients on both listeners, health checks and operators are answered by their deadlines.

use liftrelay_soak::flood::Play;
use std::path::Path;
use std::sync::{Mutex, PoisonError};

/// The plays use all cores, one after the other.
static MACHINE: Mutex<()> = Mutex::new(());

fn assert_holds(play: &Play) {
    let _alone = MACHINE.lock().unwrap_or_else(PoisonError::into_inner);
    let folder = std::env::temp_dir().join(format!("liftrelay-floods-{}", std::process::id()));
    let result = play.run(Path::new(env!("CARGO_BIN_EXE_liftrelay")), &folder).unwrap();
    let _ = std::fs::remove_dir_all(&folder);
    assert!(result.findings.is_empty(), "{}\n{play:?}\n{:#?}", result.summary(), result.findings);
}

/// Guards against packets of a connection's start that are reported to the event loop without a limit: those
/// of six clients filled its queue, and the requests of all others stayed in their sockets.
#[test]
fn encryption_requests_at_full_speed_delay_no_other_client() {
    Play::of_encryption_requests().iter().for_each(assert_holds);
}
