//! Structured logs; lines are dropped rather than block a request.

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
  std::io::Write,
};

const DEFAULT_FILTER: &str = "info,tarpc=warn";

/// Installs the global logger, which writes to `output`; `RUST_LOG` sets the level of each logger.
pub fn start(format: LogFormat, output: impl Write + Send + 'static) {
  let appender = match format {
    LogFormat::Json => Appender::new(JsonLayout::default(), output),
    LogFormat::Text => Appender::new(TextLayout::default().no_color(), output),
  };
  let filter = RustLogFilterBuilder::from_default_env_or(DEFAULT_FILTER).build();
  logforth::starter_log::builder()
    .dispatch(|dispatch| dispatch.filter(filter).append(appender))
    .apply();
}

/// Writes buffered lines, waiting a bounded time.
pub fn flush() {
  log::logger().flush();
}
