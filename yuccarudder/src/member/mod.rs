//! Membership of the entry hosts on a platform that does not list them.
//!
//! Every host sends each other host a heartbeat up to several times a second. This small
//! datagram holds the sender's phase, the version and age of its catalog, the load that it
//! has placed on targets, the targets that it knows to be leaving, and some of the hosts
//! that it knows. It also reports targets that crash under requests (see `quarantine`).

mod catalog_source;
mod codec;
mod heartbeat;
mod phase;
mod table;
mod timing;
mod transfer;

pub use catalog_source::CatalogSource;
pub use codec::Codec;
pub use heartbeat::{
  Announcement, Ban, Brittle, Crash, Echo, Heartbeat, Leaving, Limit, Load, Origin, PROTOCOL, Room,
  ServiceVersion, Sound,
};
pub use phase::Phase;
pub use table::{Member, Received, Recipient, Sent, Table};
pub use timing::{failure_timeout, heartbeat_interval, min_heartbeat_interval};
pub use transfer::{
  Handlers, ask_is_listening, compress_catalog, fetch_catalog, serve_calls, serve_calls_within,
};

#[cfg(test)]
mod tests;
