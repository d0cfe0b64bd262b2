//! A stand-in for a model engine.
//!
//! It schedules generations by continuous batching, preempts some when its memory is full, resumes
//! and cancels streams, reports its load with a delay, and injects faults on request.

mod batch;
mod engine;
mod faults;
mod stream;
mod text;

pub use batch::{Batch, Config, Load};
pub use engine::Engine;
pub use faults::Faults;
pub use text::{timestamp_ns, token_text};
