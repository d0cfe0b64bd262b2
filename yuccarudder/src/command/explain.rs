use {
  crate::tree::{self, Tree},
  anyhow::{Context, bail},
  argh::FromArgs,
  std::{fs, path::PathBuf},
};

/// print the effective values at a path of a settings tree, each with the level that sets it
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "explain")]
pub struct Explain {
  /// a path, such as services/NAME/data_centres/NAME/accounts/NAME/deadline
  #[argh(positional)]
  path: String,

  /// the settings tree
  #[argh(option)]
  tree: PathBuf,
}

impl Explain {
  pub(super) fn run(self) -> anyhow::Result<()> {
    let source = self.tree.display().to_string();
    let text = fs::read_to_string(&self.tree).with_context(|| format!("cannot read {source}"))?;
    let tree = match Tree::parse(&source, &text) {
      Ok(tree) => tree,
      Err(faults) => bail!(
        "{source} has {} faults; see `yuccarudder check --tree {source}`",
        faults.len()
      ),
    };
    for explanation in tree::explain(&tree, &self.path).map_err(anyhow::Error::msg)? {
      println!("{explanation}");
    }
    Ok(())
  }
}
