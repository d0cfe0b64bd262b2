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

pub use cadence::{news_period, period, silence};
pub use codec::Codec;
pub use intake::Intake;
pub use phase::Phase;
pub use pulse::{Echo, Leaving, Load, Pulse};
pub use table::{Known, Member, News, Sent, Table};
pub use transfer::{fetch, pack, serve};

#[cfg(test)]
mod tests;
