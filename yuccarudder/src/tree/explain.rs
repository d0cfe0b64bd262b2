use {
  super::{Level, Settings, Tree},
  std::fmt,
};

/// The effective value of a knob and the level that it came from.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Explanation {
  /// The level that set the value.
  pub level: Level,
  /// The name of the knob.
  pub name: &'static str,
  /// The value as text.
  pub value: String,
}

impl fmt::Display for Explanation {
  fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
    write!(f, "{} = {} ({})", self.name, self.value, self.level)
  }
}

/// Explains the knobs at a place such as
/// `services/NAME/data_centres/NAME/accounts/NAME/KNOB`.
///
/// Each part is optional; without a knob all are explained.
///
/// # Errors
///
/// Returns a message that names the part that is not in the tree.
pub fn explain(tree: &Tree, path: &str) -> Result<Vec<Explanation>, String> {
  let mut account = None;
  let mut data_centre = None;
  let mut service = None;
  let mut names = Settings::NAMES;
  let mut parts = path.split('/').filter(|part| !part.is_empty());
  while let Some(part) = parts.next() {
    if let Some(index) = Settings::NAMES.iter().position(|name| *name == part) {
      names = &Settings::NAMES[index..=index];
      continue;
    }
    let name = parts.next().unwrap_or_default();
    let missing = || format!("`{part}/{name}` is not in the tree");
    match part {
      "accounts" => account = Some(tree.account_by_name(name).ok_or_else(missing)?),
      "data_centres" => data_centre = Some(tree.data_centre(name).ok_or_else(missing)?),
      "services" => service = Some(tree.service(name).ok_or_else(missing)?),
      _ => {
        return Err(format!(
          "`{part}` is neither a level (accounts, data_centres, services) nor a knob ({})",
          Settings::NAMES.join(", ")
        ));
      }
    }
  }
  let knobs = tree.settings(service, data_centre, account);
  let explanations = names.iter().filter_map(|name| {
    let level = tree
      .levels(service, data_centre, account)
      .filter(|(_, overrides)| overrides.names(name))
      .last()
      .map_or(Level::BuiltIn, |(level, _)| level);
    Some(Explanation {
      level,
      name,
      value: knobs.show(name)?,
    })
  });
  Ok(explanations.collect())
}
