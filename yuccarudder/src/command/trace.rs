use {
  anyhow::{Context, bail},
  argh::FromArgs,
  serde::Deserialize,
  serde_json::{Map, Value},
  std::{
    collections::BTreeMap,
    fs::File,
    io::{BufRead, BufReader},
    path::{Path, PathBuf},
  },
};

/// print the history of one request from the log files of several hosts, or count requests by outcome
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "trace")]
pub struct Trace {
  /// the request's id; without it, requests are counted by outcome
  #[argh(option)]
  id: Option<String>,

  /// log files in JSON lines, each of one or more hosts
  #[argh(positional)]
  files: Vec<PathBuf>,
}

/// A log line in JSON.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct Line {
  #[serde(skip)]
  host: String,
  #[serde(default)]
  kvs: Map<String, Value>,
  #[serde(default)]
  message: String,
  #[serde(default)]
  target: String,
  #[serde(default)]
  timestamp: String,
}

impl Line {
  /// Parses a line; `None` if it holds no JSON object.
  ///
  /// Words before the object are taken as a time and the name of the host; without them, the
  /// host is named `file`.
  pub fn parse(text: &str, file: &str) -> Option<Self> {
    let start = text.find('{')?;
    let mut line: Self = serde_json::from_str(&text[start..]).ok()?;
    line.host = text[..start].split_whitespace().last().unwrap_or(file).to_owned();
    Some(line)
  }

  /// Returns the value of a field; `None` if it is absent or not a string.
  fn field(&self, name: &str) -> Option<&str> {
    self.kvs.get(name)?.as_str()
  }

  /// Returns how the request ended; `None` if the line does not state it.
  fn outcome(&self) -> Option<String> {
    match self.message.as_str() {
      "A stream ended." => Some(format!("stream {}", self.field("end")?)),
      "Answered a request." => Some(format!("answered {}", self.kvs.get("status")?)),
      "Refused a request." => Some(format!(
        "refused {} ({})",
        self.field("reason")?,
        self.field("ran")?
      )),
      _ => None,
    }
  }

  /// Formats the line for a history, without the request's id.
  fn render(&self) -> String {
    let fields = self.kvs.iter().filter(|(name, _)| *name != "id");
    let fields: Vec<String> = fields.map(|(name, value)| format!("{name}={value}")).collect();
    format!(
      "{} {} {}: {} {}",
      self.timestamp,
      self.host,
      self.target,
      self.message,
      fields.join(" ")
    )
  }
}

/// The lines of several log files.
#[derive(Debug, Default)]
pub struct Log {
  lines: Vec<Line>,
  unparsed: usize,
}

impl Log {
  /// Adds the lines of one file and counts those that are not JSON.
  pub fn add(&mut self, file: &str, text: impl Iterator<Item = String>) {
    for text in text.filter(|text| !text.trim().is_empty()) {
      match Line::parse(&text, file) {
        Some(line) => self.lines.push(line),
        None => self.unparsed += 1,
      }
    }
  }

  /// Counts requests by outcome.
  pub fn count_outcomes(&self) -> BTreeMap<String, usize> {
    let mut counts = BTreeMap::new();
    for outcome in self.lines.iter().filter_map(Line::outcome) {
      *counts.entry(outcome).or_default() += 1;
    }
    counts
  }

  /// Returns the lines of a request in order of their timestamps, and its outcome if a line
  /// states it.
  pub fn history(&self, id: &str) -> (Vec<String>, Option<String>) {
    let mut lines: Vec<&Line> =
      self.lines.iter().filter(|line| line.field("id") == Some(id)).collect();
    lines.sort_by(|a, b| a.timestamp.cmp(&b.timestamp));
    let outcome = lines.iter().rev().find_map(|line| line.outcome());
    (lines.into_iter().map(Line::render).collect(), outcome)
  }
}

impl Trace {
  pub(super) fn run(self) -> anyhow::Result<()> {
    if self.files.is_empty() {
      bail!("name one or more log files");
    }
    let mut log = Log::default();
    for file in &self.files {
      read_file(file, &mut log)?;
    }
    if log.unparsed > 0 {
      eprintln!("{} lines are not JSON and were passed over", log.unparsed);
    }
    let Some(id) = &self.id else {
      for (outcome, count) in log.count_outcomes() {
        println!("{count:8} {outcome}");
      }
      return Ok(());
    };
    let (history, outcome) = log.history(id);
    if history.is_empty() {
      bail!("no line names the request {id}; are the files those of the host that took it?");
    }
    for line in history {
      println!("{line}");
    }
    println!(
      "end: {}",
      outcome.as_deref().unwrap_or("not in these files")
    );
    Ok(())
  }
}

/// Adds the lines of the file at `path`; bytes that are not UTF-8 are replaced.
fn read_file(path: &Path, log: &mut Log) -> anyhow::Result<()> {
  let name = path.display().to_string();
  let file = File::open(path).with_context(|| format!("cannot read {name}"))?;
  let text = BufReader::new(file).split(b'\n').map_while(Result::ok);
  log.add(
    &name,
    text.map(|bytes| String::from_utf8_lossy(&bytes).into_owned()),
  );
  Ok(())
}

#[cfg(test)]
mod tests;
