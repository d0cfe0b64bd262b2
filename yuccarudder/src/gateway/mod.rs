//! The entry host of a platform whose store lists targets and routes but not the entry hosts,
//! which discover each other through heartbeats.
//!
//! A request passes through `ingress` (admission), `assignment` (choice of a target), `sending`
//! (one attempt at one target), and `buffered` or `stream` (retries and the response); `session`
//! relays the events of a stream. These modules coordinate; the decisions are made in the modules
//! for routing, placement, attempts and relocation.

mod assignment;
mod breaks;
mod buffered;
mod call;
mod completion;
mod contention;
mod directory;
mod engine_polling;
mod estimate;
mod forwarding;
mod gateway;
mod heartbeats;
mod ingress;
mod instruments;
mod limits;
mod migration;
mod offer;
mod paces;
mod race;
mod reachability;
mod response;
mod retrying;
mod scrape;
mod sending;
mod serve;
mod session;
mod share;
mod shutdown;
mod stream;
mod supervision;
mod timing;
mod updates;
mod verdict;

pub use directory::Directory;
pub use gateway::Gateway;
pub use serve::{Server, run};

#[cfg(test)]
mod out_of_step_tests;
#[cfg(test)]
mod paces_tests;
#[cfg(test)]
mod run_life_tests;
#[cfg(test)]
mod silent_dialect;
#[cfg(test)]
mod supervision_tests;
#[cfg(test)]
mod target_age_tests;
#[cfg(test)]
mod tests;
#[cfg(test)]
mod verdict_tests;
