use {
  crate::{settings, tree::Tree, view::HostList, yaml::Fault},
  anyhow::{Context, bail, ensure},
  argh::FromArgs,
  std::{fs, path::PathBuf},
};

/// check a settings file, a settings tree or a host list and report every fault
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "check")]
pub struct Check {
  /// a published list of hosts
  #[argh(option)]
  hosts: Option<PathBuf>,

  /// the settings file of one host
  #[argh(option)]
  settings: Option<PathBuf>,

  /// a published settings tree
  #[argh(option)]
  tree: Option<PathBuf>,
}

impl Check {
  pub(super) fn run(self) -> anyhow::Result<()> {
    ensure!(
      self.hosts.is_some() || self.settings.is_some() || self.tree.is_some(),
      "name a file to check with --settings, --tree or --hosts"
    );
    let mut faults = Vec::new();
    faults.extend(check(self.hosts, |source, text| {
      HostList::parse(source, text).map(drop)
    })?);
    faults.extend(check(self.settings, |source, text| {
      settings::Host::parse(source, text).map(drop)
    })?);
    faults.extend(check(self.tree, |source, text| {
      Tree::parse(source, text).map(drop)
    })?);
    for fault in &faults {
      println!("{fault}");
    }
    if !faults.is_empty() {
      bail!(
        "{} faults found; correct them and check again",
        faults.len()
      );
    }
    println!("no faults");
    Ok(())
  }
}

/// Reads a file, if one is given, and returns the faults that its parser reports.
///
/// # Errors
///
/// Fails if the file cannot be read.
fn check(
  path: Option<PathBuf>,
  parse: impl FnOnce(&str, &str) -> Result<(), Vec<Fault>>,
) -> anyhow::Result<Vec<Fault>> {
  let Some(path) = path else {
    return Ok(Vec::new());
  };
  let source = path.display().to_string();
  let text = fs::read_to_string(&path).with_context(|| format!("cannot read {source}"))?;
  Ok(parse(&source, &text).err().unwrap_or_default())
}
