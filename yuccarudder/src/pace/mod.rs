//! How fast each target generates, and where the pauses of streams stay within the limits of their routes.

mod hazard;
mod message;
mod meter;
mod request;
mod sample;
mod survey;
mod table;

pub use {
  hazard::Hazard,
  message::{Exposure, Message},
  meter::Meter,
  request::Request,
  sample::Sample,
  survey::Survey,
  table::Table,
};
