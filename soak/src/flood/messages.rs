//! The messages of a flood, generated from the tables of the proxy's parser: a kind of message that is added
//! to a table is played without a change here.

use crate::random::Draws;
use crate::wire::{message, query, startup_message};
use liftrelay::{CLIENT_MESSAGE_TYPES, STARTUP_FORMS, StartupForm, StartupKind};

/// The kind of the messages that a flooding client sends.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MessageKind {
    /// A startup packet with this code and of this length.
    Startup {
        /// What the parser takes it for.
        kind: StartupKind,
        /// The code of the packet.
        code: u32,
        /// Its length in bytes.
        length: usize,
    },
    /// A message with this type byte.
    Typed(u8),
    /// Bytes that the parser rejects.
    Unsound(Unsound),
}

impl MessageKind {
    /// A state in which clients send such messages.
    pub fn usual_state(&self, draws: &mut Draws) -> ConnectionState {
        match self {
            MessageKind::Startup { .. } => ConnectionState::Connected,
            MessageKind::Typed(_) => draws.pick(&[ConnectionState::Started, ConnectionState::WithinBatch]),
            MessageKind::Unsound(_) => draws.pick(&ConnectionState::ALL),
        }
    }
}

/// Bytes that the parser rejects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unsound {
    /// A type byte of no message.
    UnknownType,
    /// A length below that of the length field.
    ShortLength,
    /// A length over the limit.
    HugeLength,
    /// Random bytes.
    Noise,
}

/// The state of a connection in which a flood begins.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionState {
    /// Nothing has been sent.
    Connected,
    /// The startup message has been sent.
    Started,
    /// Messages that need a Sync have been sent.
    WithinBatch,
    /// The first half of a message has been sent.
    WithinMessage,
    /// A request has been sent that its member does not answer.
    AwaitingAnswer,
    /// A Terminate has been sent.
    Terminated,
    /// Bytes have been sent that the parser rejects.
    Rejected,
}

impl ConnectionState {
    /// All states.
    pub const ALL: [ConnectionState; 7] = [
        ConnectionState::Connected,
        ConnectionState::Started,
        ConnectionState::WithinBatch,
        ConnectionState::WithinMessage,
        ConnectionState::AwaitingAnswer,
        ConnectionState::Terminated,
        ConnectionState::Rejected,
    ];

    /// What a client sends to bring its connection into this state.
    pub fn prologue(self, serial: u64) -> Vec<u8> {
        let more = match self {
            ConnectionState::Connected => return Vec::new(),
            ConnectionState::Started => Vec::new(),
            ConnectionState::WithinBatch => typed_message(b'P', BodyForm::Sound, serial),
            ConnectionState::WithinMessage => query(&read_text(serial, ""))[..40].to_vec(),
            ConnectionState::AwaitingAnswer => query(&read_text(serial, HANGING_NAME)),
            ConnectionState::Terminated => message(b'X', b""),
            ConnectionState::Rejected => b"Q\xff\xff\xff\xff".to_vec(),
        };
        [startup_message(), more].concat()
    }
}

/// The statement that members do not answer contains this.
pub const HANGING_NAME: &str = "hanging";

/// How the body of a message with a type is made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyForm {
    /// As a client sends it; three ever new names and zeros where this is not known for the type.
    Sound,
    /// Empty.
    Empty,
    /// This many zeros.
    Zeros(usize),
    /// Ever new names and this many bytes of text.
    Text(usize),
    /// Random bytes.
    Noise(usize),
}

impl BodyForm {
    /// All forms, with the lengths that are played.
    pub const ALL: [BodyForm; 7] = [
        BodyForm::Sound,
        BodyForm::Sound,
        BodyForm::Empty,
        BodyForm::Zeros(16),
        BodyForm::Text(50),
        BodyForm::Text(100_000),
        BodyForm::Noise(40),
    ];
}

/// All kinds of messages: each form of startup packet with its least and its greatest code and length, each
/// type of the table, and what is in neither.
pub fn all_kinds() -> Vec<MessageKind> {
    let of_form = |form: &StartupForm| {
        let (kind, first, last) = (form.kind, *form.codes.start(), *form.codes.end());
        let lengths = [*form.lengths.start(), *form.lengths.end()];
        [(first, lengths[0]), (last, lengths[1])].map(|(code, length)| MessageKind::Startup {
            kind,
            code,
            length,
        })
    };
    let mut kinds: Vec<_> = STARTUP_FORMS.iter().flat_map(of_form).collect();
    kinds.dedup();
    kinds.extend(CLIENT_MESSAGE_TYPES.iter().map(|tag| MessageKind::Typed(*tag)));
    let unsound = [Unsound::UnknownType, Unsound::ShortLength, Unsound::HugeLength, Unsound::Noise];
    kinds.extend(unsound.map(MessageKind::Unsound));
    kinds
}

/// The text of a read, with an id and a reference that contain `serial`.
pub fn read_text(serial: u64, name: &str) -> String {
    let reference = format!("{name}{serial:x}");
    format!("SELECT payload FROM entries WHERE ref = '{reference}' /* id={serial:x},c=any,d=900,cluster=2 */")
}

/// Returns one message of this kind, number `serial` of its flood.
pub fn encode(kind: &MessageKind, form: BodyForm, serial: u64, draws: &mut Draws) -> Vec<u8> {
    match kind {
        MessageKind::Startup { code, length, .. } => {
            let head = [(*length as u32).to_be_bytes(), code.to_be_bytes()].concat();
            let mut packet = head;
            packet.resize(*length, 0);
            packet
        }
        MessageKind::Typed(tag) => match form {
            BodyForm::Noise(length) => message(*tag, &noise(length, draws)),
            form => typed_message(*tag, form, serial),
        },
        MessageKind::Unsound(Unsound::UnknownType) => {
            let mut tags = (0..=u8::MAX).cycle().skip(draws.below(256) as usize);
            let tag = tags.find(|tag| !CLIENT_MESSAGE_TYPES.contains(tag));
            message(tag.unwrap_or_default(), &noise(20, draws))
        }
        MessageKind::Unsound(Unsound::ShortLength) => vec![b'Q', 0, 0, 0, 3],
        MessageKind::Unsound(Unsound::HugeLength) => {
            [&[b'Q', 0x7f, 0, 0, 0][..], &noise(200, draws)].concat()
        }
        MessageKind::Unsound(Unsound::Noise) => noise(200, draws),
    }
}

fn noise(length: usize, draws: &mut Draws) -> Vec<u8> {
    (0..length).map(|_| draws.below(256) as u8).collect()
}

fn typed_message(tag: u8, form: BodyForm, serial: u64) -> Vec<u8> {
    let names = format!("a{serial:x}\0b{serial:x}\0c{serial:x}\0");
    let body = match form {
        BodyForm::Sound => sound_body(tag, serial).unwrap_or_else(|| [names.as_bytes(), &[0; 8]].concat()),
        BodyForm::Empty | BodyForm::Noise(_) => Vec::new(),
        BodyForm::Zeros(length) => vec![0; length],
        BodyForm::Text(length) => [names.as_bytes(), &vec![b'('; length], &[0; 8]].concat(),
    };
    message(tag, &body)
}

/// The body of a message that asks for something ever new; `None` for a type that is not known here.
fn sound_body(tag: u8, serial: u64) -> Option<Vec<u8>> {
    let text = match tag {
        b'Q' => format!("{}\0", read_text(serial, "")),
        b'P' => format!("s{serial:x}\0SELECT payload FROM entries WHERE ref = $1 /* c=any,d=900 */\0\0\0"),
        b'B' => format!("p{serial:x}\0s{serial:x}\0\0\0\0\x01\0\0\0\x027f\0\0"),
        b'E' => format!("p{serial:x}\0\0\0\0\0"),
        b'D' => format!("Ss{serial:x}\0"),
        b'C' => format!("Ps{serial:x}\0"),
        b'H' | b'S' | b'X' => String::new(),
        _ => return None,
    };
    Some(text.into_bytes())
}
