use {
  super::{Level, Settings, Tree},
  std::fmt,
};

/// The effective value of a setting and the level that it comes from.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Explanation {
  /// The level that sets the value.
  pub level: Level,
  /// The name of the setting.
  pub name: &'static str,
  /// The value, formatted as in a settings tree.
  pub value: String,
}

impl fmt::Display for Explanation {
  fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
    write!(f, "{} = {} ({})", self.name, self.value, self.level)
  }
}

/// Explains the settings that apply at a path such as
/// `services/NAME/data_centres/NAME/accounts/NAME/SETTING`.
///
/// Each part is optional; without the name of a setting, all settings are explained.
///
/// # Errors
///
/// Returns a message with the first part of the path that is not in the tree.
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
          "`{part}` is neither a level (accounts, data_centres, services) nor a setting ({})",
          Settings::NAMES.join(", ")
        ));
      }
    }
  }
  let settings = tree.settings(service, data_centre, account);
  let explanations = names.iter().filter_map(|name| {
    let level = tree
      .applicable_overrides(service, data_centre, account)
      .filter(|(_, overrides)| overrides.contains(name))
      .last()
      .map_or(Level::BuiltIn, |(level, _)| level);
    Some(Explanation {
      level,
      name,
      value: settings.format_value(name)?,
    })
  });
  Ok(explanations.collect())
}
