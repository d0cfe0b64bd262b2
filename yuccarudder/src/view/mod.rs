//! What a host knows of the published settings and hosts, with revision and age.

mod host_list;
mod offer;
mod slot;
mod stamp;
mod view;

pub use host_list::{Entry, HostList, HostState};
pub use offer::OfferOutcome;
pub use slot::{Accepted, Replica};
pub use stamp::{Digest, KeyDigest};
pub use view::{Published, View};

#[cfg(test)]
mod tests;
