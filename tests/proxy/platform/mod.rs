//! Tests of the platform's listener: client messages and connections, the endpoint list, and faults of
//! members.

mod configuration;
mod connections;
mod endpoint_list;
mod faults;
mod messages;
mod partial_messages;
mod slow_readers;
