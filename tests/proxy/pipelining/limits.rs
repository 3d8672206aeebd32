//! Tests of the limits on the commands and replies that one connection may have in progress.

use super::*;

#[test]
fn connection_at_its_limit_of_commands_in_progress_is_not_read() {
    for listener in LISTENERS {
        let (primary, replicas, proxy) = start_group(2);
        replicas.iter().for_each(|replica| replica.plan(&[MemberBehavior::HoldReply("held"); 8]));
        let mut client = listener.connect(&proxy);
        let commands: Vec<_> = (1..=12).map(|id| listener.read_query(id, "any", KEY)).collect();
        client.send(&commands.concat());
        wait_for_counter(&proxy, "pending=8");
        let mut other = listener.connect(&proxy);
        other.send(&listener.write_query(0x20, 900, OTHER_KEY));
        assert_eq!(other.read_reply(), listener.served("value"));
        wait_for_counter(&proxy, "pending=8");
        let all: Vec<_> = replicas.iter().chain([&primary]).collect();
        assert!(
            executed_ids(&all).iter().all(|id| *id <= 8 || *id == 0x20),
            "{listener:?}: {:?}",
            executed_ids(&all)
        );
        replicas.iter().for_each(|replica| replica.release_replies(8));
        for id in 1..=12 {
            assert!(client.read_reply().ends_with(" C Z"), "{listener:?}: {id}");
        }
    }
}

#[test]
fn no_further_command_starts_while_too_many_bytes_wait_for_an_earlier_reply() {
    let large: &'static str = Box::leak("x".repeat(60_000).into_boxed_str());
    for listener in LISTENERS {
        let (primary, replicas, proxy) = start_group(1);
        let replica = &replicas[0];
        replica.plan(&[
            MemberBehavior::HoldReply("held"),
            MemberBehavior::ServeValue(large),
            MemberBehavior::ServeValue(large),
            MemberBehavior::ServeValue(large),
        ]);
        let mut client = listener.connect(&proxy);
        client.send(&listener.read_query(1, "any", KEY));
        replica.wait_for(MemberEvent::ReplyHeld);
        for id in 2..=4 {
            client.send(&listener.read_query(id, "any", KEY));
            while replica.executed_count() < id as usize {
                wait_for_counter(&proxy, "pending=");
            }
            // The replies to all commands but the first one have arrived at the proxy.
            wait_for_counter(&proxy, "pending=1");
        }
        client.send(&listener.read_query(5, "any", KEY));
        wait_until_commands_are_read(&proxy, listener, 6);
        wait_for_counter(&proxy, "pending=1");
        assert_eq!(
            executed_ids(&[&primary, replica]),
            [1, 2, 3, 4, 6],
            "{listener:?}: 180 KB of replies wait for the first one"
        );
        replica.release_replies(1);
        assert_eq!(client.read_reply(), listener.served("held"));
        (2..=4).for_each(|_| assert_eq!(client.read_reply(), listener.served(large)));
        assert_eq!(client.read_reply(), listener.served("value"));
    }
}
