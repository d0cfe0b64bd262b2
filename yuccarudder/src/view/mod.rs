//! What a host knows of the published settings and hosts, with revision and age.

mod host_list;
mod offer;
mod view;

pub use host_list::{Entry, HostList, HostState};
pub use offer::Offer;
pub use view::{Accepted, Slot, View};

#[cfg(test)]
mod tests;
