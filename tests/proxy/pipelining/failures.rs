//! Tests of commands in progress that fail, expire or are cancelled, and of the commands behind them.

use super::*;
use std::io::Read;
use std::time::{Duration, Instant};

#[test]
fn hung_head_of_line_fails_at_its_own_deadline_without_delaying_the_commands_behind_it() {
    for listener in LISTENERS {
        let (_primary, replicas, proxy) = start_group(1);
        replicas[0].plan(&[listener.hang(), MemberBehavior::Serve, MemberBehavior::Serve]);
        let mut client = listener.connect(&proxy);
        let start = Instant::now();
        client.send(&listener.read_query_with_timeout(1, "any", KEY, 2000));
        replicas[0].wait_for(MemberEvent::Hanging);
        client.send(&[listener.read_query(2, "any", KEY), listener.read_query(3, "any", KEY)].concat());
        wait_for_counter(&proxy, "any.completed=3"); // `start_group` has sent one read as well.
        assert!(
            start.elapsed() < Duration::from_millis(1900),
            "{listener:?}: the others waited for the hung command"
        );
        assert_nothing_received(&client);
        assert!(client.read_reply().starts_with("E("), "{listener:?}");
        assert!(start.elapsed() < Duration::from_millis(2200), "{listener:?}: {:?}", start.elapsed());
        assert_eq!(
            [client.read_reply(), client.read_reply()],
            [listener.served("value"), listener.served("value")]
        );
    }
}

#[test]
fn failed_write_lets_the_commands_behind_it_continue() {
    for listener in LISTENERS {
        let (primary, _replicas, proxy) = start_group(1);
        primary.plan(&[listener.hang()]);
        let mut client = listener.connect(&proxy);
        let commands = [
            listener.write_query(1, 500, KEY),
            listener.read_query(2, "any", KEY),
            listener.write_query(3, 4000, KEY),
        ];
        client.send(&commands.concat());
        primary.wait_for(MemberEvent::Hanging);
        assert!(client.read_reply().ends_with("E(08007) Z"), "{listener:?}");
        assert_eq!(
            [client.read_reply(), client.read_reply()],
            [listener.served("value"), listener.served("value")]
        );
        assert_eq!(executed_ids(&[&primary]), [1, 3], "{listener:?}");
    }
}

#[test]
fn request_that_expires_while_queued_is_rejected_without_an_attempt() {
    for listener in LISTENERS {
        let (primary, _replicas, proxy) = start_group(1);
        primary.plan(&[MemberBehavior::HoldReply("slow")]);
        let mut client = listener.connect(&proxy);
        client.send(
            &[
                listener.write_query(1, 4000, KEY),
                listener.write_query(2, 300, KEY),
                listener.write_query(3, 4000, KEY),
            ]
            .concat(),
        );
        primary.wait_for(MemberEvent::ReplyHeld);
        let held_since = Instant::now();
        while held_since.elapsed() < Duration::from_millis(350) {
            wait_until_commands_are_read(&proxy, listener, 0x10 + held_since.elapsed().as_micros() as u32);
        }
        primary.release_replies(1);
        assert_eq!(client.read_reply(), listener.served("slow"));
        assert_eq!(client.read_reply(), "E(53300) Z", "{listener:?}");
        assert_eq!(client.read_reply(), listener.served("value"));
        assert_eq!(executed_ids(&[&primary]), [1, 3], "{listener:?}");
    }
}

#[test]
fn client_disconnect_cancels_all_its_attempts_and_starts_no_other() {
    for listener in LISTENERS {
        let (primary, replicas, proxy) = start_group(2);
        let hang = listener.hang();
        replicas.iter().for_each(|replica| replica.plan(&[hang]));
        primary.plan(&[MemberBehavior::HoldReply("never")]);
        let mut client = listener.connect(&proxy);
        client.send(&[listener.read_query(1, "any", KEY), listener.read_query(2, "any", KEY)].concat());
        replicas.iter().for_each(|replica| replica.wait_for(MemberEvent::Hanging));
        client.send(
            &[listener.write_query(3, 4000, OTHER_KEY), listener.write_query(4, 4000, OTHER_KEY)].concat(),
        );
        primary.wait_for(MemberEvent::ReplyHeld);
        drop(client);
        replicas.iter().for_each(|replica| replica.wait_for(MemberEvent::ConnectionClosed));
        wait_for_counter(&proxy, "pending=0");
        primary.release_replies(1);
        let mut other = listener.connect(&proxy);
        other.send(&listener.write_query(5, 900, KEY));
        assert_eq!(other.read_reply(), listener.served("value"));
        assert_eq!(
            executed_ids(&[&primary]),
            [3, 5],
            "{listener:?}: the write that waited for the first write is not started"
        );
    }
}

#[test]
fn cancel_request_ends_the_first_unanswered_command_and_no_other() {
    for listener in LISTENERS {
        let (_primary, replicas, proxy) = start_group(2);
        replicas.iter().for_each(|replica| replica.plan(&[MemberBehavior::HoldReply("held")]));
        let mut client = listener.connect(&proxy);
        client.send(&[listener.read_query(1, "any", KEY), listener.read_query(2, "any", KEY)].concat());
        replicas.iter().for_each(|replica| replica.wait_for(MemberEvent::ReplyHeld));
        let first = usize::from(executed_ids(&[&replicas[1]]) == [1]);
        let _cancel = client.send_cancel_to(listener.address(&proxy));
        assert_eq!(client.read_reply(), "E(08007) Z");
        replicas[first].release_replies(1);
        assert_nothing_received(&client);
        replicas[1 - first].release_replies(1);
        assert_eq!(client.read_reply(), listener.served("held"));
        // The reply of the cancelled attempt must not be taken for the reply to a later command.
        for id in 3..7 {
            client.send(&listener.read_query(id, "any", KEY));
            assert_eq!(client.read_reply(), listener.served("value"), "{listener:?}");
        }
    }
}

#[test]
fn every_command_in_progress_gets_one_reply_on_sigterm() {
    for listener in LISTENERS {
        let (primary, replicas, mut proxy) = start_group(2);
        let hang = listener.hang();
        replicas[0].plan(&[hang]);
        replicas[1].plan(&[hang]);
        primary.plan(&[hang]);
        let mut client = listener.connect(&proxy);
        client.send(&[listener.read_query(1, "any", KEY), listener.read_query(2, "any", KEY)].concat());
        replicas.iter().for_each(|replica| replica.wait_for(MemberEvent::Hanging));
        client.send(
            &[
                listener.write_query(3, 15_000, OTHER_KEY),
                listener.write_query(4, 15_000, OTHER_KEY),
                listener.read_query(5, "any", OTHER_KEY),
            ]
            .concat(),
        );
        primary.wait_for(MemberEvent::Hanging);
        proxy.signal("-TERM");
        let mut replies: Vec<_> = (0..5).map(|_| client.read_reply()).collect();
        assert!(replies.iter().all(|reply| reply.contains("E(") && reply.ends_with(" Z")), "{replies:?}");
        assert!(replies.remove(2).ends_with("E(08007) Z"), "{listener:?}: the write may have executed");
        assert_eq!(executed_ids(&[&primary]), [3], "{listener:?}: the second write was not started");
        assert_eq!(
            client.stream.read(&mut [0]).unwrap(),
            0,
            "the connection is closed without a further reply"
        );
        assert!(proxy.child.wait().unwrap().success());
    }
}

/// Guards against "nothing has run" for a read that a member has, and may be running.
#[test]
fn read_that_may_have_run_is_a_failure_and_one_that_was_never_sent_is_refused() {
    for listener in LISTENERS {
        let (primary, replicas, proxy) = start_group(1);
        let hang = [listener.hang(); 8];
        primary.plan(&hang);
        replicas[0].plan(&hang);
        let mut client = listener.connect(&proxy);
        client.send(&listener.read_query_with_timeout(1, "any", KEY, 300));
        assert_eq!(client.read_reply(), "E(08007) Z", "{listener:?}");
        assert!(!executed_ids(&[&primary, &replicas[0]]).is_empty(), "{listener:?}: the read was sent");
        // A write that waits behind another one for longer than its time is never sent.
        client.send(&[listener.write_query(2, 600, KEY), listener.write_query(3, 300, KEY)].concat());
        assert_eq!([client.read_reply(), client.read_reply()], ["E(08007) Z", "E(53300) Z"], "{listener:?}");
    }
}

/// Guards against the loss of commands that wait, unparsed or unread, behind those in progress when the process
/// ends.
#[test]
fn every_command_that_has_arrived_gets_one_reply_on_sigterm_however_many_are_ahead_of_it() {
    // The first number is parsed in part; of the second, some are still in the socket.
    for (listener, commands) in LISTENERS.into_iter().flat_map(|listener| [(listener, 24), (listener, 1500)])
    {
        let (primary, _replicas, mut proxy) = start_group(2);
        primary.plan(&[listener.hang()]);
        let mut client = listener.connect(&proxy);
        let reads = (2..=commands).flat_map(|id| listener.read_query(id, "any", KEY));
        client.send(&[listener.write_query(1, 15_000, KEY), reads.collect()].concat());
        primary.wait_for(MemberEvent::Hanging);
        proxy.signal("-TERM");
        assert!(client.read_reply().ends_with("E(08007) Z"), "{listener:?}: the write may have executed");
        for id in 2..=commands {
            let reply = client.read_reply();
            assert!(reply.ends_with("E(53300) Z"), "{listener:?}, command {id} of {commands}: {reply}");
        }
        assert_eq!(client.read_reply(), "end");
        assert!(proxy.child.wait().unwrap().success());
    }
}

/// Guards against the loss of commands ahead of something for which the connection is closed.
#[test]
fn commands_are_answered_before_their_connection_is_closed_for_what_follows_them() {
    for (ending, expected) in [(b"!\0\0\0\x04".as_slice(), "E(08P01) end"), (b"X\0\0\0\x04", "end")] {
        for listener in LISTENERS {
            let (primary, _replicas, proxy) = start_group(2);
            primary.plan(&[MemberBehavior::HoldReply("slow")]);
            let mut client = listener.connect(&proxy);
            let commands = [listener.write_query(1, 9000, KEY), listener.read_query(2, "any", KEY)];
            client.send(&[commands.concat().as_slice(), ending].concat());
            primary.wait_for(MemberEvent::ReplyHeld);
            // Longer than a client may take for a command that it has begun.
            std::thread::sleep(Duration::from_millis(2400));
            primary.release_replies(1);
            assert_eq!(client.read_reply(), listener.served("slow"), "{listener:?}, {ending:?}");
            assert_eq!(client.read_reply(), listener.served("value"), "{listener:?}, {ending:?}");
            assert_eq!(client.read_reply_until(|_| false), expected, "{listener:?}, {ending:?}");
        }
    }
}

/// Guards against the loss of commands ahead of one that the client does not complete in time.
#[test]
fn commands_get_a_reply_each_when_their_client_does_not_complete_the_next_one() {
    for listener in LISTENERS {
        let (primary, _replicas, proxy) = start_group(2);
        primary.plan(&[listener.hang()]);
        let mut client = listener.connect(&proxy);
        let commands = [listener.write_query(1, 9000, KEY), listener.read_query(2, "any", KEY)];
        client.send(&[commands.concat().as_slice(), b"Q\0\0"].concat());
        assert_eq!(client.read_reply(), "E(08007) Z", "{listener:?}: the write may have executed");
        assert_eq!(client.read_reply(), "E(53300) Z", "{listener:?}: the read has not been started");
        assert_eq!(client.read_reply_until(|_| false), "E(08P01) end", "{listener:?}");
        wait_for_counter(&proxy, "pending=0");
        assert_eq!(executed_ids(&[&primary]), [1], "{listener:?}");
    }
}

/// Guards against requests that are sent on for a client that has left behind a message that ends its connection.
#[test]
fn client_that_leaves_after_a_malformed_message_gets_nothing_started() {
    for listener in LISTENERS {
        let (primary, _replicas, proxy) = start_group(2);
        primary.plan(&[MemberBehavior::HoldReply("slow")]);
        let mut client = listener.connect(&proxy);
        let commands = [listener.write_query(1, 9000, KEY), listener.write_query(2, 9000, KEY)];
        client.send(&[commands.concat().as_slice(), b"!\0\0\0\x04"].concat());
        primary.wait_for(MemberEvent::ReplyHeld);
        drop(client);
        wait_for_counter(&proxy, "pending=0");
        primary.release_replies(1);
        std::thread::sleep(Duration::from_millis(100));
        assert_eq!(executed_ids(&[&primary]), [1], "{listener:?}");
    }
}

#[test]
fn prepared_statement_survives_a_batch_that_failed_after_its_parse_but_not_a_rejected_one() {
    let (_primary, replicas, proxy) = start_group(1);
    replicas[0].plan(&[MemberBehavior::ServeError("42601")]);
    let mut client = proxy.connect_extended();
    let read = "SELECT payload FROM entries WHERE ref = $1 /* c=any,d=5000 */";
    client.send(&extended_messages(&format!("P r {read} | B - r | E - | S | B - r | E - | S")));
    assert_eq!([client.read_reply(), client.read_reply()], ["1 2 E(42601) Z", "2 D(value) C Z"]);
    replicas[0].plan(&[MemberBehavior::HangOn(b'P')]);
    let expiring_read = read.replace("d=5000", "d=1").replace("payload", "other");
    client.send(&extended_messages(&format!("P q {expiring_read} | B - q | E - | S | B - q | E - | S")));
    assert_eq!([client.read_reply(), client.read_reply()], ["E(53300) Z", "E(26000) Z"]);
}
