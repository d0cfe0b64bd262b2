use {
  super::{Fault, Node, nesting},
  saphyr::{LoadableYamlNode, MarkedYaml},
  std::cell::RefCell,
};

/// Collects the faults of one document.
#[derive(Debug)]
pub struct Collector<'a> {
  faults: RefCell<Vec<Fault>>,
  source: &'a str,
}

impl<'a> Collector<'a> {
  /// Records a fault at a line and a dotted path.
  pub fn fault(
    &self,
    line: usize,
    key: &str,
    found: impl Into<String>,
    allowed: impl Into<String>,
  ) {
    self.faults.borrow_mut().push(Fault {
      allowed: allowed.into(),
      found: found.into(),
      key: key.into(),
      line,
      source: self.source.into(),
    });
  }

  fn finish<T>(self, value: Option<T>) -> Result<T, Vec<Fault>> {
    let mut faults = self.faults.into_inner();
    faults.sort_by(|a, b| (a.line, &a.key).cmp(&(b.line, &b.key)));
    match value {
      Some(value) if faults.is_empty() => Ok(value),
      _ => Err(faults),
    }
  }
}

/// Parses `text` and converts its root with `convert`; faults name it as `source`.
///
/// # Errors
///
/// Returns every fault found, ordered by line.
pub fn read<T>(
  source: &str,
  text: &str,
  convert: impl FnOnce(Node<'_, '_>) -> Option<T>,
) -> Result<T, Vec<Fault>> {
  let collector = Collector {
    faults: RefCell::default(),
    source,
  };
  let loaded = match nesting::find_excess(text) {
    Ok(Some(line)) => {
      let allowed = format!("at most {} levels", nesting::MAX_LEVELS);
      collector.fault(line, "", "more levels of nesting", allowed);
      return collector.finish(None);
    }
    Ok(None) => MarkedYaml::load_from_str(text),
    Err(error) => Err(error),
  };
  let documents = match loaded {
    Ok(documents) => documents,
    Err(error) => {
      collector.fault(
        error.marker().line(),
        "",
        error.info(),
        "a well-formed YAML document",
      );
      return collector.finish(None);
    }
  };
  let [root] = documents.as_slice() else {
    collector.fault(
      1,
      "",
      format!("{} documents", documents.len()),
      "exactly one YAML document",
    );
    return collector.finish(None);
  };
  let value = convert(Node::root(&collector, root));
  collector.finish(value)
}
