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

/// print the history of one request from the log files of several hosts, or count how requests ended
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "trace")]
pub struct Trace {
  /// the request's id; without it, requests are counted by how they ended
  #[argh(option)]
  id: Option<String>,

  /// log files with JSON lines, one or more hosts each
  #[argh(positional)]
  files: Vec<PathBuf>,
}

/// One line of a log.
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
  /// Reads a line; words before the JSON object are taken as time and name of the host.
  pub fn parse(text: &str, file: &str) -> Option<Self> {
    let start = text.find('{')?;
    let mut line: Self = serde_json::from_str(&text[start..]).ok()?;
    line.host = text[..start].split_whitespace().last().unwrap_or(file).to_owned();
    Some(line)
  }

  fn field(&self, name: &str) -> Option<&str> {
    self.kvs.get(name)?.as_str()
  }

  /// Returns how the request ended, if the line tells it.
  fn end(&self) -> Option<String> {
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

/// The lines of all files.
#[derive(Debug, Default)]
pub struct Lines {
  lines: Vec<Line>,
  unread: usize,
}

impl Lines {
  /// Adds the lines of one file.
  pub fn add(&mut self, file: &str, text: impl Iterator<Item = String>) {
    for text in text.filter(|text| !text.trim().is_empty()) {
      match Line::parse(&text, file) {
        Some(line) => self.lines.push(line),
        None => self.unread += 1,
      }
    }
  }

  /// Counts requests by how they ended.
  pub fn ends(&self) -> BTreeMap<String, usize> {
    let mut ends = BTreeMap::new();
    for end in self.lines.iter().filter_map(Line::end) {
      *ends.entry(end).or_default() += 1;
    }
    ends
  }

  /// Returns the history of a request in the order of its times, and what ended it.
  pub fn history(&self, id: &str) -> (Vec<String>, Option<String>) {
    let mut lines: Vec<&Line> =
      self.lines.iter().filter(|line| line.field("id") == Some(id)).collect();
    lines.sort_by(|a, b| a.timestamp.cmp(&b.timestamp));
    let end = lines.iter().rev().find_map(|line| line.end());
    (lines.into_iter().map(Line::render).collect(), end)
  }
}

impl Trace {
  pub(super) fn run(self) -> anyhow::Result<()> {
    if self.files.is_empty() {
      bail!("name one or more log files");
    }
    let mut lines = Lines::default();
    for file in &self.files {
      read(file, &mut lines)?;
    }
    if lines.unread > 0 {
      eprintln!("{} lines are not JSON and were passed over", lines.unread);
    }
    let Some(id) = &self.id else {
      for (end, count) in lines.ends() {
        println!("{count:8} {end}");
      }
      return Ok(());
    };
    let (history, end) = lines.history(id);
    if history.is_empty() {
      bail!("no line names the request {id}; are the files those of the host that took it?");
    }
    for line in history {
      println!("{line}");
    }
    println!("end: {}", end.as_deref().unwrap_or("not in these files"));
    Ok(())
  }
}

fn read(path: &Path, lines: &mut Lines) -> anyhow::Result<()> {
  let name = path.display().to_string();
  let file = File::open(path).with_context(|| format!("cannot read {name}"))?;
  let text = BufReader::new(file).split(b'\n').map_while(Result::ok);
  lines.add(
    &name,
    text.map(|bytes| String::from_utf8_lossy(&bytes).into_owned()),
  );
  Ok(())
}

#[cfg(test)]
mod tests;
