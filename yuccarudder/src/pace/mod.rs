//! How fast each target generates, and where the pauses of streams stay within the limits of their routes.

mod gaps;
mod hazard;
mod mean;
mod message;
mod meter;
mod news;
mod rates;
mod request;
mod sample;
mod survey;
mod table;

pub(crate) use table::MAX_MESSAGES;
pub use {
  hazard::Hazard,
  message::{Exposure, Message},
  meter::Meter,
  rates::Rates,
  request::Request,
  sample::Sample,
  survey::Survey,
  table::Table,
};

#[cfg(test)]
mod tests;
