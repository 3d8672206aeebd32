//! The platform's listener: each test stands for a failure that was found or is guarded against.

mod configuration;
mod connections;
mod endpoint_list;
mod faults;
mod messages;
mod partial_messages;
mod slow_readers;
