//! Subcommands of the command line.

use {
  crate::{
    capacity, demo, endpoint,
    engine::{Config, Engine},
    leave, load, overhead,
    plain::PlainServer,
    platform::Platform,
    spread,
  },
  anyhow::Context,
  argh::FromArgs,
  std::{fs, net::SocketAddr, path::PathBuf, time::Duration},
  tokio::net::TcpListener,
};

/// Stand-ins, load generators and measurements for yuccarudder.
#[derive(Debug, FromArgs)]
pub struct Command {
  #[argh(subcommand)]
  subcommand: Subcommand,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum Subcommand {
  Capacity(capacity::Capacity),
  Demo(demo::Demo),
  Engine(ServeEngine),
  Leave(leave::Leave),
  Load(load::Load),
  Overhead(overhead::Overhead),
  Plain(ServePlain),
  Platform(ServePlatform),
  Spread(spread::Spread),
}

/// serve a stand-in for a model engine
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "engine")]
struct ServeEngine {
  /// address to listen on
  #[argh(option)]
  listen: SocketAddr,

  /// memory capacity in tokens
  #[argh(option, default = "64_000")]
  memory: u64,

  /// duration of one decoding step in milliseconds
  #[argh(option, default = "5")]
  step_ms: u64,
}

/// serve a stand-in for a plain service
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "plain")]
struct ServePlain {
  /// address to listen on
  #[argh(option)]
  listen: SocketAddr,
}

/// serve a stand-in for the platform's configuration service
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "platform")]
struct ServePlatform {
  /// file with the initial list of hosts
  #[argh(option)]
  hosts: PathBuf,

  /// address to listen on
  #[argh(option)]
  listen: SocketAddr,

  /// file with the initial settings tree
  #[argh(option)]
  tree: PathBuf,
}

impl Command {
  /// Runs the subcommand.
  ///
  /// # Errors
  ///
  /// Fails if a file cannot be read, an address cannot be bound, or a measurement or load cannot
  /// run.
  pub async fn run(self) -> anyhow::Result<()> {
    match self.subcommand {
      Subcommand::Capacity(capacity) => capacity.run(),
      Subcommand::Demo(demo) => demo.run().await,
      Subcommand::Engine(engine) => engine.run().await,
      Subcommand::Leave(leave) => leave.run().await,
      Subcommand::Load(load) => load.run().await,
      Subcommand::Overhead(overhead) => overhead.run().await,
      Subcommand::Plain(plain) => plain.run().await,
      Subcommand::Platform(platform) => platform.run().await,
      Subcommand::Spread(spread) => spread.run().await,
    }
  }
}

impl ServeEngine {
  async fn run(self) -> anyhow::Result<()> {
    let engine = Engine::new(Config {
      memory_tokens: self.memory,
      step: Duration::from_millis(self.step_ms.max(1)),
      ..Config::default()
    });
    tokio::spawn(engine.clone().run());
    let listener = bind(self.listen).await?;
    endpoint::serve(listener, move |request| engine.clone().handle(request)).await;
    Ok(())
  }
}

impl ServePlain {
  async fn run(self) -> anyhow::Result<()> {
    let server = PlainServer::default();
    let listener = bind(self.listen).await?;
    endpoint::serve(listener, move |request| server.clone().handle(request)).await;
    Ok(())
  }
}

impl ServePlatform {
  async fn run(self) -> anyhow::Result<()> {
    let read = |path: PathBuf| {
      fs::read_to_string(&path).with_context(|| format!("cannot read {}", path.display()))
    };
    let platform = Platform::new(read(self.tree)?, read(self.hosts)?);
    let listener = bind(self.listen).await?;
    endpoint::serve(listener, move |request| platform.clone().handle(request)).await;
    Ok(())
  }
}

async fn bind(address: SocketAddr) -> anyhow::Result<TcpListener> {
  TcpListener::bind(address)
    .await
    .with_context(|| format!("cannot listen on {address}; is the port in use?"))
}
