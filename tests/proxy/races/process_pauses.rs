//! Tests with a pause of the whole proxy process, while clients and members continue and deadlines pass.

use crate::support::*;
use std::time::Duration;

/// The number of runs of each case. Which thread of the process runs first after the pause is random.
const ROUNDS: u32 = 5;

/// Returns a write with this id and timeout for one of the listeners.
fn write(extended: bool, id: u32, timeout_ms: u32) -> Vec<u8> {
    match extended {
        false => simple_query(&write_query(id, timeout_ms)),
        true => extended_messages(&format!(
            "P - INSERT INTO entries VALUES ($1) /* id={id:x},c=write,d={timeout_ms},cluster=2 */ | B - - 7f | E - | S"
        )),
    }
}

/// Sends a write that waits for the member's greeting, and pauses the process for `duration`. During the
/// pause the greeting arrives and `event` happens. Returns the client, unless `event` drops it.
fn pause_process(
    proxy: &Proxy,
    primary: &MockMember,
    request: &[u8],
    extended: bool,
    duration: Duration,
    event: impl Fn(Client) -> Option<Client>,
) -> Option<Client> {
    primary.hold_greetings();
    let mut client = if extended { proxy.connect_extended() } else { proxy.connect() };
    client.send(request);
    primary.wait_for(MemberEvent::GreetingHeld);
    proxy.suspend();
    primary.release_greetings();
    let client = event(client);
    std::thread::sleep(duration);
    proxy.resume();
    client
}

/// Sends a last write, and asserts that it is the only one that the member has received.
fn assert_only_last_is_received(proxy: &Proxy, primary: &MockMember, case: &str) {
    assert_eq!(proxy.connect().query(&write_query(0xfff, 9000)), SERVED);
    let received = primary.received();
    assert!(received.len() == 1 && received[0].contains("id=fff,"), "{case}: {received:?}");
}

#[test]
fn request_whose_time_runs_out_while_the_process_is_paused_is_rejected_and_not_sent() {
    for (extended, round) in [false, true].into_iter().flat_map(|e| (0..ROUNDS).map(move |round| (e, round)))
    {
        let primary = MockMember::start(true);
        let proxy = Proxy::start_with_shell(&[&primary], &shell_without_probes(""), "");
        let request = write(extended, 1, 300);
        let duration = Duration::from_millis(400);
        let client = pause_process(&proxy, &primary, &request, extended, duration, Some);
        assert_eq!(client.unwrap().read_reply(), "E(53300) Z");
        assert_only_last_is_received(&proxy, &primary, &format!("extended {extended}, round {round}"));
    }
}

/// The member connection opens and the client disconnects while the process is paused. After the pause, the
/// worker of the member connection may run before the threads that read from clients, and must not send the
/// request.
#[test]
fn request_is_not_sent_if_its_client_disconnects_while_the_process_is_paused() {
    for (extended, round) in [false, true].into_iter().flat_map(|e| (0..ROUNDS).map(move |round| (e, round)))
    {
        let primary = MockMember::start(true);
        let proxy = Proxy::start_with_shell(&[&primary], &shell_without_probes(""), "");
        let request = write(extended, 1, 9000);
        let duration = Duration::from_millis(150);
        pause_process(&proxy, &primary, &request, extended, duration, |client| {
            drop(client);
            None
        });
        wait_for_counter(&proxy, "pending=0\n");
        assert_only_last_is_received(&proxy, &primary, &format!("extended {extended}, round {round}"));
    }
}

#[test]
fn request_is_not_sent_if_its_client_disconnects_behind_unread_bytes_while_the_process_is_paused() {
    for (extended, round) in [false, true].into_iter().flat_map(|e| (0..ROUNDS).map(move |round| (e, round)))
    {
        let primary = MockMember::start(true);
        let proxy = Proxy::start_with_shell(&[&primary], &shell_without_probes(""), "");
        let request = write(extended, 1, 9000);
        let duration = Duration::from_millis(150);
        pause_process(&proxy, &primary, &request, extended, duration, |mut client| {
            client.send(&write(extended, 2, 9000));
            drop(client);
            None
        });
        wait_for_counter(&proxy, "pending=0\n");
        assert_only_last_is_received(&proxy, &primary, &format!("extended {extended}, round {round}"));
    }
}

#[test]
fn request_is_not_sent_if_it_is_cancelled_while_the_process_is_paused() {
    for (extended, round) in [false, true].into_iter().flat_map(|e| (0..ROUNDS).map(move |round| (e, round)))
    {
        let primary = MockMember::start(true);
        let proxy = Proxy::start_with_shell(&[&primary], &shell_without_probes(""), "");
        let address = if extended { proxy.extended_address.unwrap() } else { proxy.address };
        let request = write(extended, 1, 9000);
        let duration = Duration::from_millis(150);
        let client = pause_process(&proxy, &primary, &request, extended, duration, |client| {
            let _cancel = client.send_cancel_to(address);
            Some(client)
        });
        assert_eq!(client.unwrap().read_reply(), "E(08007) Z");
        assert_only_last_is_received(&proxy, &primary, &format!("extended {extended}, round {round}"));
    }
}
