//! The yuccarudder daemon and its command line.

use yuccarudder::command::Command;

fn main() -> anyhow::Result<()> {
  argh::from_env::<Command>().run()
}
