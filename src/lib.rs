//! liftrelay is a proxy that routes reads and writes to replicated database groups.
//!
//! It has three layers: the [`Router`], which makes the decisions; the reducer, which holds the state of
//! requests and connections and calls the router; and the threads and sockets around the reducer. The adapter
//! for the simulator uses the same router.
//!
//! The [`Router`] does no I/O and reads no clock: the host passes it [`Event`]s with the current time and
//! carries out the [`Action`]s that it requests.
//!
//! ```
//! use liftrelay::*;
//!
//! let settings = Settings {
//!     classes: vec![
//!         Class {
//!             requirement: Requirement::Any, idempotency: Idempotency::Idempotent,
//!             latency_objective: 200_000, deadline: 800_000, priority_weight: 1.0, late_value: 0.0,
//!         },
//!         Class {
//!             requirement: Requirement::Write,
//!             idempotency: Idempotency::Keyed { across_groups: false, window: 2_000_000 },
//!             latency_objective: 400_000, deadline: 3_000_000, priority_weight: 4.0, late_value: 0.5,
//!         },
//!     ],
//!     ..Settings::default()
//! };
//! let mut router = Router::new(settings, 7, 0);
//! let mut actions = Vec::new();
//!
//! // The list names two members. Their roles are not known yet; a hint says that the first is the primary.
//! let member = |n, primary_hint| EndpointEntry {
//!     endpoint: EndpointId(n), group: 1, zone: 0, state: EndpointState::Ready, primary_hint, started_at: 0,
//! };
//! let members = vec![member(1, true), member(2, false)];
//! router.handle(0, Event::EndpointUpdate { complete: true, endpoints: members }, &mut actions);
//! let token = |a: &Action| if let Action::SetTimer { token, .. } = a { Some(*token) } else { None };
//! let timer_token = actions.iter().find_map(token);
//!
//! // A write goes to the member that the hint names, and its response shows that it is the primary.
//! let request = |id, class| Request {
//!     id, group: 1, remaining: 800_000, ..Request::executing(ExecutedStatement::new(class, 9))
//! };
//! actions.clear();
//! router.handle(5_000, Event::Request(request(1, 1)), &mut actions);
//! assert!(matches!(actions[0], Action::Send { request: 1, endpoint: EndpointId(1), .. }));
//! router.handle(30_000, Event::AttemptEnded(AttemptResult {
//!     request: 1, attempt: 0, endpoint: EndpointId(1), outcome: Outcome::Ok, elapsed: 25_000,
//!     metadata: ResponseMetadata { role: Some(Role::Primary), position: Some(29_000) },
//!     finished: true, report: LoadReport::default(),
//! }), &mut actions);
//!
//! // A read goes to the replica with the fewest pending requests.
//! actions.clear();
//! router.handle(35_000, Event::Request(request(2, 0)), &mut actions);
//! assert!(matches!(actions[0], Action::Send { request: 2, endpoint: EndpointId(2), .. }));
//!
//! // The router's timer drives health checks and retries held requests. The router sets the next one itself.
//! actions.clear();
//! router.handle(60_000, Event::TimerFired(timer_token.unwrap()), &mut actions);
//! assert!(actions.iter().any(|a| matches!(a, Action::SetTimer { .. })));
//! ```

#![cfg_attr(not(test), deny(clippy::unwrap_used))]
#![deny(clippy::too_many_lines)]

mod client;
mod clock;
mod config;
mod core;
mod endpoint_list;
mod estimators;
mod exchange;
mod extended;
mod fair_share;
mod front;
mod line_budget;
mod memory_budget;
mod model;
mod net;
mod pg;
mod policy;
mod random;
mod router;
mod server;
pub mod sim_adapter;
mod sockets;
mod stable_hash;
mod state;
pub mod store;
pub mod syslog;
mod threads;

pub use config::{Config, ConfigError, from_toml};
pub use front::postgres::{ExtendedListenerConfig, UnknownClassError};
pub use model::*;
pub use net::{ListenError, client_listener};
pub use pg::message_tags::frontend::ALL as CLIENT_MESSAGE_TYPES;
pub use pg::{STARTUP_FORMS, StartupForm, StartupKind};
pub use router::Router;
pub use server::{ServeError, serve};
