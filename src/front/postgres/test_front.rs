//! A front with its connections, as the tests of this module drive it.

use super::{ExtendedListenerConfig, Postgres, PostgresLimits};
use crate::client::{BatchEnd, ClientBatch, ClientEvent, ClientId};
use crate::core::{FinalAnswer, NewRequest};
use crate::exchange::{MemberRequest, MemberResponse};
use crate::front::{ConnectionManager, FrontEffect, RequestRegistry};
use crate::memory_budget::MemoryBudget;
use crate::pg::message_tags::frontend;
use crate::pg::put_message;
use crate::{Micros, RequestId, Settings};
use std::sync::Arc;

pub struct TestFront {
    pub manager: ConnectionManager<Postgres>,
    pub registry: RequestRegistry,
}

impl TestFront {
    /// A front whose replies may wait for earlier ones in this many bytes.
    pub fn new(
        config: ExtendedListenerConfig,
        settings: Settings,
        commit_bytes: usize,
        reordered_bytes: usize,
        now: Micros,
    ) -> TestFront {
        let limits = PostgresLimits { session_memory: MemoryBudget::new(1 << 20, 0, 1), commit_bytes };
        let postgres = Postgres::new(config, Arc::new(settings), limits, now).unwrap();
        let manager = ConnectionManager::new(postgres, reordered_bytes);
        TestFront { manager, registry: RequestRegistry::default() }
    }

    pub fn connect(&mut self, client: ClientId) {
        let connected = ClientEvent::Connected { secret: 1 };
        self.manager.handle_event(&mut self.registry, 0, client, connected);
    }

    /// Sends a batch, and returns the requests that the front starts.
    pub fn send(
        &mut self,
        now: Micros,
        client: ClientId,
        messages: Vec<Vec<u8>>,
        end: BatchEnd,
    ) -> Vec<NewRequest<MemberRequest>> {
        let batch = ClientBatch { received_at: now, messages, end, refusal: None };
        let event = ClientEvent::Command(batch);
        requests(self.manager.handle_event(&mut self.registry, now, client, event))
    }

    /// Answers a request, and returns the requests that the front starts.
    pub fn answer(
        &mut self,
        now: Micros,
        request: RequestId,
        answer: FinalAnswer<MemberResponse>,
    ) -> Vec<NewRequest<MemberRequest>> {
        let client = self.registry.close(request).expect("a request of the front");
        requests(self.manager.answer(&mut self.registry, now, client, request, answer))
    }
}

fn requests(effects: Vec<FrontEffect>) -> Vec<NewRequest<MemberRequest>> {
    let request = |effect| match effect {
        FrontEffect::StartRequest(started) => Some(started),
        _ => None,
    };
    effects.into_iter().filter_map(request).collect()
}

/// A response of these messages.
pub fn served(bytes: Vec<u8>, position: Option<Micros>) -> FinalAnswer<MemberResponse> {
    FinalAnswer::Served(MemberResponse { bytes, position, held: None })
}

/// A listener whose first parameter names the session.
pub fn config(read_class: &str, write_class: &str) -> ExtendedListenerConfig {
    ExtendedListenerConfig {
        listen: ([127, 0, 0, 1], 0).into(),
        read_class: read_class.to_string(),
        write_class: write_class.to_string(),
        group: 0,
        wait_ms: 1000,
        session_parameter: 1,
        key_parameter: 0,
        statements: 8,
    }
}

pub fn message(tag: u8, body: &[u8]) -> Vec<u8> {
    let mut bytes = Vec::new();
    put_message(&mut bytes, tag, &[body]);
    bytes
}

pub fn parse(name: &str, text: &str) -> Vec<u8> {
    message(frontend::PARSE, format!("{name}\0{text}\0\0\0").as_bytes())
}

/// A Bind with this parameter, or with none.
pub fn bind(portal: &str, statement: &str, parameter: Option<&str>) -> Vec<u8> {
    let names = format!("{portal}\0{statement}\0\0\0");
    let parameters = parameter.map_or(vec![0, 0], |value| {
        [&[0, 1][..], &(value.len() as u32).to_be_bytes(), value.as_bytes()].concat()
    });
    message(frontend::BIND, &[names.as_bytes(), &parameters, &[0, 0]].concat())
}

pub fn execute(portal: &str) -> Vec<u8> {
    message(frontend::EXECUTE, format!("{portal}\0\0\0\0\0").as_bytes())
}
