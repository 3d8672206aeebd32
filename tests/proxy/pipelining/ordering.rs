//! Tests of the order in which commands of one connection start, and of the order of their replies.

use super::*;

#[test]
fn replies_keep_the_order_of_commands_that_finish_in_reverse_order() {
    for listener in LISTENERS {
        let (_primary, replicas, proxy) = start_group(2);
        replicas[0].plan(&[MemberBehavior::HoldReply("held")]);
        replicas[1].plan(&[MemberBehavior::HoldReply("held")]);
        let mut client = listener.connect(&proxy);
        client.send(&[listener.read_query(1, "any", KEY), listener.read_query(2, "any", KEY)].concat());
        replicas[0].wait_for(MemberEvent::ReplyHeld);
        replicas[1].wait_for(MemberEvent::ReplyHeld);
        let first = usize::from(executed_ids(&[&replicas[1]]) == [1]);
        replicas[1 - first].release_replies(1);
        wait_for_counter(&proxy, "pending=1");
        assert_nothing_received(&client);
        replicas[first].release_replies(1);
        assert_eq!(
            [client.read_reply(), client.read_reply()],
            [listener.served("held"), listener.served("held")]
        );
        assert_eq!(
            (executed_ids(&[&replicas[first]]), executed_ids(&[&replicas[1 - first]])),
            (vec![1], vec![2]),
            "{listener:?}"
        );
    }
}

#[test]
fn each_reply_belongs_to_its_command_whatever_finishes_first() {
    for listener in LISTENERS {
        let (_primary, replicas, proxy) = start_group(1);
        replicas[0].plan(&[
            MemberBehavior::HoldReply("first"),
            MemberBehavior::ServeValue("second"),
            MemberBehavior::ServeValue("third"),
        ]);
        let mut client = listener.connect(&proxy);
        client.send(&listener.read_query(1, "any", KEY));
        replicas[0].wait_for(MemberEvent::ReplyHeld);
        client.send(&[listener.read_query(2, "any", KEY), listener.read_query(3, "any", KEY)].concat());
        wait_for_counter(&proxy, "pending=1");
        while replicas[0].executed_count() < 3 {
            wait_for_counter(&proxy, "pending=1");
        }
        assert_nothing_received(&client);
        replicas[0].release_replies(1);
        assert_eq!(client.read_reply(), listener.served("first"), "{listener:?}");
        let mut rest = [client.read_reply(), client.read_reply()];
        rest.sort();
        assert_eq!(rest, [listener.served("second"), listener.served("third")], "{listener:?}");
    }
}

#[test]
fn read_waits_for_an_earlier_write_and_sees_its_commit() {
    for listener in LISTENERS {
        // The replica's data is 60 s behind, but the replica may serve the session's reads as long as the
        // session has no recent write.
        let (primary, replicas, proxy) = start_group_with_lag(1, 60_000);
        let mut client = listener.connect(&proxy);
        client.send(&listener.read_query(1, "own", KEY));
        assert_eq!(client.read_reply(), listener.served("value"));
        assert_eq!(executed_ids(&[&replicas[0]]), [1], "{listener:?}");
        primary.plan(&[MemberBehavior::HoldReply("written"), MemberBehavior::ServeValue("fresh")]);
        client.send(&[listener.write_query(2, 4000, KEY), listener.read_query(3, "own", KEY)].concat());
        primary.wait_for(MemberEvent::ReplyHeld);
        wait_until_commands_are_read(&proxy, listener, 4);
        assert_eq!(
            executed_ids(&[&primary, &replicas[0]]),
            [2, 1, 4],
            "{listener:?}: the read waits for the write"
        );
        primary.release_replies(1);
        assert_eq!(
            [client.read_reply(), client.read_reply()],
            [listener.served("written"), listener.served("fresh")]
        );
        assert_eq!(executed_ids(&[&primary]), [2, 3], "{listener:?}");
    }
}

#[test]
fn write_does_not_overtake_an_earlier_write() {
    for listener in LISTENERS {
        let (primary, _replicas, proxy) = start_group(1);
        primary.plan(&[
            MemberBehavior::HoldReply("one"),
            MemberBehavior::ServeValue("two"),
            MemberBehavior::ServeValue("three"),
        ]);
        let mut client = listener.connect(&proxy);
        let writes = [
            listener.write_query(1, 4000, KEY),
            listener.write_query(2, 4000, OTHER_KEY),
            listener.write_query(3, 4000, KEY),
        ];
        client.send(&writes.concat());
        primary.wait_for(MemberEvent::ReplyHeld);
        wait_until_commands_are_read(&proxy, listener, 4);
        assert_eq!(executed_ids(&[&primary]), [1], "{listener:?}");
        primary.release_replies(1);
        let replies = [client.read_reply(), client.read_reply(), client.read_reply()];
        assert_eq!(replies, ["one", "two", "three"].map(|value| listener.served(value)));
        assert_eq!(executed_ids(&[&primary]), [1, 2, 3], "{listener:?}");
    }
}

#[test]
fn write_waits_for_an_earlier_read_of_its_session_and_for_no_other() {
    for listener in LISTENERS {
        let (primary, replicas, proxy) = start_group(1);
        replicas[0].plan(&[MemberBehavior::HoldReply("before")]);
        let mut client = listener.connect(&proxy);
        client.send(&listener.read_query(1, "any", KEY));
        replicas[0].wait_for(MemberEvent::ReplyHeld);
        client.send(&[listener.write_query(2, 4000, OTHER_KEY), listener.write_query(3, 4000, KEY)].concat());
        wait_for_counter(&proxy, "write.completed=2"); // `start_group` has sent one write as well.
        wait_until_commands_are_read(&proxy, listener, 4);
        assert_eq!(executed_ids(&[&primary]), [2], "{listener:?}");
        replicas[0].release_replies(1);
        let replies = [client.read_reply(), client.read_reply(), client.read_reply()];
        assert_eq!(replies, ["before", "value", "value"].map(|value| listener.served(value)));
        assert_eq!(executed_ids(&[&primary]), [2, 3], "{listener:?}");
    }
}

#[test]
fn extended_batch_that_depends_on_an_unfinished_one_keeps_its_order() {
    let (_primary, replicas, proxy) = start_group(1);
    let read = "SELECT payload FROM entries WHERE ref = $1 /* c=any,d=5000 */";
    replicas[0].plan(&[MemberBehavior::HoldReply("held")]);
    let mut client = proxy.connect_extended();
    client.send(&extended_messages(&format!(
        "P r {read} | B - r | E - | S | B - r | E - | S | P - {read} | B - - | E - | S"
    )));
    // The second batch waits for the first, which prepares its statement, and the third waits behind the
    // second.
    wait_for_counter(&proxy, "pending=1");
    wait_until_commands_are_read(&proxy, Listener::Extended, 9);
    assert_eq!(replicas[0].executed_count(), 2, "the first batch and the read of the other client");
    replicas[0].release_replies(1);
    let replies = [client.read_reply(), client.read_reply(), client.read_reply()];
    assert!(
        replies.iter().zip(["1 2 D", "2 D", "1 2 D"]).all(|(reply, start)| reply.starts_with(start)),
        "{replies:?}"
    );
}
