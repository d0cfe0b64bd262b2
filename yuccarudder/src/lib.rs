//! A distributed router that accepts requests of client accounts at a few entry hosts and
//! sends them to inference engines and plain HTTP services. Engines are often at their limit, and
//! the length of a generation is unknown until it ends.
//!
//! The library is divided into modules by responsibility. Each module holds its own state,
//! messages and tests; `main.rs` only parses the command line.

pub mod attempt;
pub mod caller;
pub mod clock;
pub mod cold;
pub mod command;
pub mod completion;
pub mod contention;
pub mod dialect;
pub mod drain;
pub mod entries;
pub mod gateway;
pub mod generation;
pub mod gossip;
pub mod host;
pub mod http;
pub mod limit;
pub mod links;
pub mod logs;
pub mod member;
pub mod metrics;
pub mod once;
pub mod origin;
pub mod owner;
pub mod pace;
pub mod peer;
pub mod placement;
pub mod plain;
pub mod platform;
pub mod prompt;
pub mod quarantine;
pub mod reader;
pub mod refusal;
pub mod relay;
pub mod relocation;
pub mod review;
pub mod roster;
pub mod routing;
pub mod server;
pub mod settings;
pub mod share;
pub mod socket;
pub mod span;
pub mod target;
pub mod ticket;
pub mod tree;
pub mod upstream;
pub mod view;
pub mod yaml;
