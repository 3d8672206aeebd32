use super::{Inbox, Message, Messages, inbox};
use crate::core::Input;

fn timer() -> Message {
    Message::Core(Input::TimerDue)
}

fn take(inbox: &Inbox) -> Option<&'static str> {
    let message = inbox.take_until(Some(std::time::Instant::now()))?;
    Some(match message {
        Message::Core(_) => "members",
        Message::Terminate => "control",
        Message::ClientReadingStopped => "clients",
        _ => "other",
    })
}

/// Guards against members or discovery whose messages exclude those of all others.
#[test]
fn source_that_has_used_little_time_is_not_behind_one_with_many_messages() {
    let (messages, inbox): (Messages, Inbox) = inbox();
    for _ in 0..100 {
        messages.send(timer()).unwrap();
    }
    for _ in 0..20 {
        assert_eq!(take(&inbox), Some("members"));
        std::thread::sleep(std::time::Duration::from_micros(200));
        inbox.handled();
    }
    messages.send(Message::Terminate).unwrap();
    let taken = [take(&inbox), take(&inbox)];
    assert!(taken.contains(&Some("control")), "{taken:?}");
    let members = inbox.counts()[super::Source::Members as usize];
    assert_eq!(members.most_queued, 100);
}

#[test]
fn message_behind_those_of_all_clients_is_taken_when_none_is_ahead() {
    let (messages, inbox) = inbox();
    messages.send(Message::ClientReadingStopped).unwrap();
    assert_eq!(take(&inbox), Some("clients"));
    assert_eq!(take(&inbox), None);
    drop(inbox);
    assert!(messages.send(timer()).is_err());
}
