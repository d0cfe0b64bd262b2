//! Structured log lines on standard output that never hold up service.

mod append;
mod backlog;
mod budget;

pub use backlog::Backlog;
pub use budget::Budget;

#[cfg(test)]
mod tests;

use {
  crate::settings::LogFormat,
  append::Append,
  logforth::{
    filter::rustlog::RustLogFilterBuilder,
    layout::{JsonLayout, TextLayout},
  },
};

const DEFAULT_LEVELS: &str = "info,tarpc=warn";

/// Starts the logs; `RUST_LOG` sets the levels of the parts.
pub fn start(format: LogFormat) {
  let append = match format {
    LogFormat::Json => Append::new(JsonLayout::default()),
    LogFormat::Text => Append::new(TextLayout::default().no_color()),
  };
  let filter = RustLogFilterBuilder::from_default_env_or(DEFAULT_LEVELS).build();
  logforth::starter_log::builder()
    .dispatch(|dispatch| dispatch.filter(filter).append(append))
    .apply();
}

/// Writes what has not been written yet.
pub fn flush() {
  log::logger().flush();
}
