use {
  super::{ask::Ask, check::Check, explain::Explain, serve::Serve, status::Status, trace::Trace},
  argh::FromArgs,
};

/// Serve, check and inspect the entry hosts of a router for inference and HTTP requests.
#[derive(Debug, FromArgs)]
pub struct Command {
  #[argh(subcommand)]
  subcommand: Subcommand,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum Subcommand {
  Ask(Ask),
  Check(Check),
  Explain(Explain),
  Serve(Serve),
  Status(Status),
  Trace(Trace),
}

impl Command {
  /// Runs the subcommand.
  ///
  /// # Errors
  ///
  /// Fails with a message that explains how to correct the invocation or its input.
  pub fn run(self) -> anyhow::Result<()> {
    match self.subcommand {
      Subcommand::Ask(ask) => ask.run(),
      Subcommand::Check(check) => check.run(),
      Subcommand::Explain(explain) => explain.run(),
      Subcommand::Serve(serve) => serve.run(),
      Subcommand::Status(status) => status.run(),
      Subcommand::Trace(trace) => trace.run(),
    }
  }
}

/// Runs a future to completion on a new multi-threaded runtime.
///
/// # Errors
///
/// Fails if the runtime cannot be started or the future fails.
pub(super) fn block_on<T>(future: impl Future<Output = anyhow::Result<T>>) -> anyhow::Result<T> {
  tokio::runtime::Builder::new_multi_thread().enable_all().build()?.block_on(future)
}
