use {
  super::command::block_on,
  crate::{
    clock::Clock,
    logs,
    server::{self, Server},
    settings,
  },
  anyhow::{Context, bail},
  argh::FromArgs,
  std::{fs, io, path::PathBuf},
  tokio::signal::unix::{SignalKind, signal},
};

/// serve callers as an entry host until SIGTERM or until the host list marks it as leaving
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "serve")]
pub struct Serve {
  /// the settings file of this host
  #[argh(option)]
  settings: PathBuf,
}

impl Serve {
  pub(super) fn run(self) -> anyhow::Result<()> {
    block_on(self.serve())
  }

  async fn serve(self) -> anyhow::Result<()> {
    // Until they are handled, both signals end the process at once.
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut terminate = signal(SignalKind::terminate())?;
    let settings = self.load_settings()?;
    logs::start(settings.log, io::stderr());
    let server = Server::bind(settings, Clock::system()).await?;
    let stop = async {
      tokio::select! {
        _ = interrupt.recv() => {}
        _ = terminate.recv() => {}
      }
    };
    server::run(server, stop).await;
    logs::flush();
    Ok(())
  }

  /// Reads and parses the settings file; prints each fault of an invalid file.
  fn load_settings(&self) -> anyhow::Result<settings::Host> {
    let source = self.settings.display().to_string();
    let text = fs::read_to_string(&self.settings)
      .with_context(|| format!("cannot read {source}; name the settings file of this host"))?;
    settings::Host::parse(&source, &text).or_else(|faults| {
      for fault in &faults {
        eprintln!("{fault}");
      }
      bail!(
        "{source} has {} faults; correct them and start again",
        faults.len()
      );
    })
  }
}
