//! How the entry hosts of a platform that does not list them find and inform each other.
//!
//! Every host sends each other host a small datagram several times a second, which
//! tells its phase, the version and age of its catalog, the load it has at targets, the
//! targets that it knows to leave and the hosts that it knows.

mod cadence;
mod codec;
mod intake;
mod phase;
mod pulse;
mod table;
mod transfer;

pub use cadence::{failure_timeout, heartbeat_interval, min_heartbeat_interval};
pub use codec::Codec;
pub use intake::CatalogSource;
pub use phase::Phase;
pub use pulse::{Echo, Heartbeat, Leaving, Load};
pub use table::{Member, Received, Recipient, Sent, Table};
pub use transfer::{compress_catalog, fetch_catalog, serve_catalog};

#[cfg(test)]
mod tests;
