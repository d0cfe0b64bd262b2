//! The daemon and command line of yuccarudder.

use yuccarudder::command::Command;

fn main() -> anyhow::Result<()> {
  argh::from_env::<Command>().run()
}
