//! Command line of the stand-ins, load generators and measurements.

use rig::command::Command;

#[tokio::main]
async fn main() -> anyhow::Result<()> {
  argh::from_env::<Command>().run().await
}
