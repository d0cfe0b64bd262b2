//! The command line of the stand-ins.

use rig::command::Command;

#[tokio::main]
async fn main() -> anyhow::Result<()> {
  argh::from_env::<Command>().run().await
}
