//! A host's copies of the published settings and host list, each with its revision and age.

mod digest;
mod host_list;
mod offer;
mod replica;
mod view;

pub use digest::{Digest, KeyDigest};
pub use host_list::{Entry, HostList, HostState};
pub use offer::OfferOutcome;
pub use replica::{Accepted, Replica};
pub use view::{Published, View};

#[cfg(test)]
mod tests;
