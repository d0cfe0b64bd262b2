//! Structured logs on standard output; lines are dropped rather than block a request.

mod appender;
mod buffer;
mod rate_limiter;

pub use buffer::Buffer;
pub use rate_limiter::RateLimiter;

#[cfg(test)]
mod tests;

use {
  crate::settings::LogFormat,
  appender::Appender,
  logforth::{
    filter::rustlog::RustLogFilterBuilder,
    layout::{JsonLayout, TextLayout},
  },
};

const DEFAULT_FILTER: &str = "info,tarpc=warn";

/// Installs the global logger; `RUST_LOG` sets the level of each logger.
pub fn start(format: LogFormat) {
  let appender = match format {
    LogFormat::Json => Appender::new(JsonLayout::default()),
    LogFormat::Text => Appender::new(TextLayout::default().no_color()),
  };
  let filter = RustLogFilterBuilder::from_default_env_or(DEFAULT_FILTER).build();
  logforth::starter_log::builder()
    .dispatch(|dispatch| dispatch.filter(filter).append(appender))
    .apply();
}

/// Writes buffered lines to standard output, waiting a bounded time.
pub fn flush() {
  log::logger().flush();
}
