//! Tracks the load that all hosts place on targets and selects a target for each request.

mod brittleness;
mod choose;
mod health;
mod length_model;
mod load;
mod load_table;
mod pauses;
mod queue;
mod rate_limits;
mod room;
mod scheduler;
mod throttle;

pub use brittleness::{Attempt, BrittleStatement, Brittleness, PlaceShare};
pub use choose::{
  Candidate, Choice, Demand, PREFILL_TOKEN_WEIGHT, choose, prefix_saving, sample_fraction,
};
pub use health::{Health, Outcome};
pub use length_model::LengthModel;
pub use load::Load;
pub use load_table::{Assignment, AssignmentKey, LoadTable};
pub use pauses::Pauses;
pub use queue::{Entry, Queue, Rank};
pub use rate_limits::{LimitShare, LimitStatement, RateLimits};
pub use room::{Room, Sighting};
pub use scheduler::{Reservation, Scheduler, Waiter};
pub use throttle::{ColdLimit, Throttle};

#[cfg(test)]
mod brittleness_tests;
#[cfg(test)]
mod rate_limit_tests;
#[cfg(test)]
mod room_tests;
#[cfg(test)]
mod tests;
#[cfg(test)]
mod throttle_tests;
