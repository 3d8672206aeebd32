//! The tracing layer: formats events as syslog messages and sends them to all sinks.

use super::format::{Formatter, Parameter};
use super::sink::Sink;
use std::fmt::{Debug, Write as _};
use std::sync::Arc;
use tracing::field::{Field, Visit};
use tracing::{Event, Subscriber};
use tracing_subscriber::layer::{Context, Layer};

/// The name of the field with an event's text.
const MESSAGE_FIELD: &str = "message";

/// A tracing layer that writes events as syslog messages.
pub struct SyslogLayer {
    formatter: Formatter,
    sinks: Vec<Sink>,
}

impl SyslogLayer {
    pub(super) fn new(formatter: Formatter, sinks: Vec<Sink>) -> Self {
        SyslogLayer { formatter, sinks }
    }

    pub(super) fn send(&self, message: &str) {
        let message: Arc<str> = message.into();
        for sink in &self.sinks {
            sink.send(message.clone(), |dropped| self.formatter.dropped_notice(dropped));
        }
    }
}

impl<S: Subscriber> Layer<S> for SyslogLayer {
    fn on_event(&self, event: &Event<'_>, _: Context<'_, S>) {
        let mut fields = EventFields::default();
        event.record(&mut fields);
        let metadata = event.metadata();
        let message_id = metadata.target().rsplit("::").next().unwrap_or(metadata.target());
        let message = self.formatter.format(*metadata.level(), message_id, &fields.parameters, &fields.text);
        self.send(&message);
    }
}

/// An event's text and its other fields.
#[derive(Default)]
struct EventFields {
    text: String,
    parameters: Vec<Parameter>,
}

impl Visit for EventFields {
    fn record_str(&mut self, field: &Field, value: &str) {
        if field.name() == MESSAGE_FIELD {
            self.text = value.to_string();
        } else {
            self.parameters.push(Parameter::new(field.name(), value));
        }
    }

    fn record_debug(&mut self, field: &Field, value: &dyn Debug) {
        let mut text = String::new();
        let _ = write!(text, "{value:?}");
        self.record_str(field, &text);
    }
}
