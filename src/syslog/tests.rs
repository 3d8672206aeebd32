use super::DEFAULT_FACILITY;
use super::format::{
    Formatter, MAX_DATA_BYTES, MAX_MESSAGE_BYTES, Parameter, sanitize_name, structured_data,
};
use super::layer::SyslogLayer;
use super::sink::{QUEUE_CAPACITY, Sink};
use crossbeam_channel::bounded;
use std::sync::atomic::Ordering;
use tracing::Level;

fn formatter() -> Formatter {
    Formatter::new("h", DEFAULT_FACILITY)
}

fn parameters(list: &[(&str, &str)]) -> Vec<Parameter> {
    list.iter().map(|(name, value)| Parameter::new(*name, *value)).collect()
}

#[test]
fn values_are_escaped_and_invalid_characters_of_names_removed() {
    let escaped = structured_data(&parameters(&[("a b=c", "x\"y\\z]\n")]));
    assert_eq!(escaped, r#"[liftrelay@32473 abc="x\"y\\z\] "]"#);
    assert_eq!(structured_data(&[]), "");
    assert_eq!(sanitize_name("", 5), "-");
    assert_eq!(sanitize_name(&"x".repeat(99), 32).len(), 32);
}

#[test]
fn messages_are_truncated_to_the_length_limits_between_two_characters() {
    let long = "ä".repeat(4000);
    let fields = parameters(&[("a", &long), ("b", "1")]);
    let text = formatter().format(Level::WARN, "net", &fields, &long);
    assert!(text.len() <= MAX_MESSAGE_BYTES && text.len() > MAX_MESSAGE_BYTES - 4);
    assert!(text.starts_with("<28>1 ") && text.contains(" liftrelay ") && text.contains("b=\"1\"]"));
    assert!(text.contains("] \u{feff}ä"));
    let many: Vec<_> = (0..200).map(|n| Parameter::new(format!("field{n}"), "v".repeat(40))).collect();
    assert!(structured_data(&many).len() <= MAX_DATA_BYTES);
}

#[test]
fn a_blocked_sink_drops_and_counts_messages_without_blocking_the_logger() {
    let (release, blocked) = bounded::<()>(0);
    let (report, reported) = crossbeam_channel::unbounded();
    let write = move |message: &str| {
        let _ = blocked.recv();
        let _ = report.send(message.to_string());
    };
    let sink = Sink::start("test", write).unwrap();
    let dropped = sink.dropped();
    let layer = SyslogLayer::new(formatter(), vec![sink]);
    let sent = QUEUE_CAPACITY as u64 + 50;
    (0..sent).for_each(|_| layer.send("x"));
    drop((release, layer));
    let count = |message: String| match message.split_once("dropped=\"") {
        Some((_, rest)) => rest.split('"').next().unwrap().parse().unwrap(),
        None => 1u64,
    };
    let written: u64 = reported.iter().map(count).sum();
    let unreported = dropped.load(Ordering::Relaxed);
    assert!(unreported > 0, "no message was dropped");
    assert_eq!(written + unreported, sent, "messages that are written or counted as dropped");
}
