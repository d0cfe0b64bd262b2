use {
  super::{Collector, Map},
  saphyr::{MarkedYaml, Scalar, YamlData},
  std::{net::SocketAddr, ops::RangeInclusive, str::FromStr, time::Duration},
};

/// A value of a document, with its path and line.
///
/// The typed readers record a fault and return `None` if the value is not allowed.
#[derive(Clone, Debug)]
pub struct Node<'a, 'b> {
  node: &'a MarkedYaml<'b>,
  path: String,
  collector: &'a Collector<'a>,
}

impl<'a, 'b> Node<'a, 'b> {
  /// Reads an IP address and a port other than 0.
  pub fn address(&self) -> Option<SocketAddr> {
    self.parse("an IP address and port, such as 10.0.0.1:8080", |text| {
      SocketAddr::from_str(text).ok().filter(|address| address.port() != 0)
    })
  }

  /// Reads a boolean.
  pub fn boolean(&self) -> Option<bool> {
    match &self.node.data {
      YamlData::Value(Scalar::Boolean(value)) => Some(*value),
      _ => self.reject("true or false"),
    }
  }

  pub(super) fn child(&self, key: &str, node: &'a MarkedYaml<'b>) -> Self {
    let path = if self.path.is_empty() {
      key.into()
    } else {
      format!("{}.{key}", self.path)
    };
    Self {
      node,
      path,
      collector: self.collector,
    }
  }

  /// Reads one of a set of names and returns the value that belongs to it.
  pub fn choice<T: Copy>(&self, choices: &[(&str, T)]) -> Option<T> {
    let allowed = choices.iter().map(|(name, _)| *name).collect::<Vec<_>>().join(", ");
    self.parse(&allowed, |text| {
      choices.iter().find(|(name, _)| *name == text).map(|(_, value)| *value)
    })
  }

  /// Reads a duration with a unit, such as `10s`, within `range`.
  pub fn duration(&self, range: &RangeInclusive<Duration>) -> Option<Duration> {
    let allowed = format!(
      "a duration with a unit, from {} to {}",
      humantime::format_duration(*range.start()),
      humantime::format_duration(*range.end())
    );
    self.parse(&allowed, |text| {
      humantime::parse_duration(text).ok().filter(|value| range.contains(value))
    })
  }

  /// Records a fault at this value.
  pub fn fault(&self, found: impl Into<String>, allowed: impl Into<String>) {
    self.collector.fault(self.line(), &self.path, found, allowed);
  }

  fn describe(&self) -> String {
    match &self.node.data {
      YamlData::Value(Scalar::String(text)) => format!("`{text}`"),
      YamlData::Value(Scalar::Integer(value)) => format!("the number {value}"),
      YamlData::Value(Scalar::FloatingPoint(value)) => format!("the number {value}"),
      YamlData::Value(Scalar::Boolean(value)) => format!("{value}"),
      YamlData::Value(Scalar::Null) => "nothing".into(),
      YamlData::Sequence(_) => "a list".into(),
      YamlData::Mapping(_) => "a mapping".into(),
      _ => "an unsupported value".into(),
    }
  }

  /// Reads a number within `range`.
  pub fn float(&self, range: &RangeInclusive<f64>) -> Option<f64> {
    let value = match &self.node.data {
      YamlData::Value(Scalar::FloatingPoint(value)) => Some(value.into_inner()),
      YamlData::Value(Scalar::Integer(value)) => Some(*value as f64),
      _ => None,
    };
    match value.filter(|value| range.contains(value)) {
      Some(value) => Some(value),
      None => self.reject(&format!(
        "a number from {} to {}",
        range.start(),
        range.end()
      )),
    }
  }

  /// Reads a whole number within `range`.
  pub fn integer(&self, range: &RangeInclusive<u64>) -> Option<u64> {
    let value = match &self.node.data {
      YamlData::Value(Scalar::Integer(value)) => u64::try_from(*value).ok(),
      _ => None,
    };
    match value.filter(|value| range.contains(value)) {
      Some(value) => Some(value),
      None => self.reject(&format!(
        "a whole number from {} to {}",
        range.start(),
        range.end()
      )),
    }
  }

  /// Returns the line of the value, counted from one.
  pub fn line(&self) -> usize {
    self.node.span.start.line()
  }

  /// Reads a list and returns one node per item.
  pub fn list(&self) -> Option<Vec<Self>> {
    match &self.node.data {
      YamlData::Sequence(items) => Some(
        items
          .iter()
          .enumerate()
          .map(|(index, item)| self.child(&index.to_string(), item))
          .collect(),
      ),
      _ => self.reject("a list"),
    }
  }

  /// Reads a mapping; an empty value counts as an empty mapping.
  pub fn map(&self) -> Option<Map<'a, 'b>> {
    match &self.node.data {
      YamlData::Mapping(entries) => Some(Map::new(self.clone(), entries)),
      YamlData::Value(Scalar::Null) => Some(Map::empty(self.clone())),
      _ => self.reject("a mapping"),
    }
  }

  /// Reads text and converts it with `convert`, which returns `None` if it is not allowed.
  pub fn parse<T>(&self, allowed: &str, convert: impl FnOnce(&str) -> Option<T>) -> Option<T> {
    match self.text().and_then(convert) {
      Some(value) => Some(value),
      None => self.reject(allowed),
    }
  }

  /// Returns the dotted path of the value.
  pub fn path(&self) -> &str {
    &self.path
  }

  fn reject<T>(&self, allowed: &str) -> Option<T> {
    self.fault(self.describe(), allowed);
    None
  }

  pub(super) fn root(collector: &'a Collector<'a>, node: &'a MarkedYaml<'b>) -> Self {
    Self {
      node,
      path: String::new(),
      collector,
    }
  }

  pub(super) fn key_name(&self) -> Option<String> {
    match &self.node.data {
      YamlData::Value(Scalar::String(text)) => Some(text.to_string()),
      YamlData::Value(Scalar::Integer(value)) => Some(value.to_string()),
      _ => self.reject("a text key"),
    }
  }

  /// Reads a size in bytes with a unit, such as `64KiB`, within `range`.
  pub fn size(&self, range: &RangeInclusive<u64>) -> Option<u64> {
    let allowed = format!(
      "a size with a unit, from {} to {}",
      bytesize::ByteSize(*range.start()),
      bytesize::ByteSize(*range.end())
    );
    self.parse(&allowed, |text| {
      bytesize::ByteSize::from_str(text)
        .ok()
        .map(|size| size.as_u64())
        .filter(|size| range.contains(size))
    })
  }

  /// Reads text.
  pub fn string(&self) -> Option<&'a str> {
    match self.text() {
      Some(text) => Some(text),
      None => self.reject("text"),
    }
  }

  fn text(&self) -> Option<&'a str> {
    match &self.node.data {
      YamlData::Value(Scalar::String(text)) => Some(text),
      _ => None,
    }
  }
}
