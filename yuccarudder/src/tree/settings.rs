use {
  super::Level,
  crate::yaml::Node,
  std::{ops::RangeInclusive, time::Duration},
};

const KIB: u64 = 1024;
const MIB: u64 = 1024 * KIB;

const fn days(count: u64) -> Duration {
  Duration::from_secs(count * 86_400)
}

const fn ms(count: u64) -> Duration {
  Duration::from_millis(count)
}

const fn secs(count: u64) -> Duration {
  Duration::from_secs(count)
}

fn read_count(node: &Node<'_, '_>, range: &RangeInclusive<u64>) -> Option<u64> {
  node.integer(range)
}

fn read_duration(node: &Node<'_, '_>, range: &RangeInclusive<Duration>) -> Option<Duration> {
  node.duration(range)
}

fn read_size(node: &Node<'_, '_>, range: &RangeInclusive<u64>) -> Option<u64> {
  node.size(range)
}

fn show_count(value: u64) -> String {
  value.to_string()
}

fn show_duration(value: Duration) -> String {
  humantime::format_duration(value).to_string()
}

fn show_size(value: u64) -> String {
  bytesize::ByteSize(value).to_string()
}

/// Defines the knobs: name, type, reader, printer, built-in value, range and levels.
macro_rules! knobs {
  {
    $(
      $(#[$doc:meta])*
      $name:ident: $type:ty, $read:ident, $show:ident = $default:expr, $range:expr, [$($level:ident)*];
    )*
  } => {
    /// The effective values at one place of the tree.
    #[derive(Clone, Copy, Debug, Eq, PartialEq)]
    pub struct Settings {
      $($(#[$doc])* pub $name: $type,)*
    }

    impl Default for Settings {
      fn default() -> Self {
        Self { $($name: $default,)* }
      }
    }

    impl Settings {
      /// The names of all knobs, in alphabetical order.
      pub const NAMES: &'static [&'static str] = &[$(stringify!($name)),*];

      /// Returns a copy with the values that `overrides` names.
      #[must_use]
      pub fn overridden(mut self, overrides: &Overrides) -> Self {
        $(if let Some(value) = overrides.$name { self.$name = value; })*
        self
      }

      /// Returns the value of the named knob as text.
      pub fn show(&self, name: &str) -> Option<String> {
        match name {
          $(stringify!($name) => Some($show(self.$name)),)*
          _ => None,
        }
      }
    }

    /// The knobs that one level overrides.
    #[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
    pub struct Overrides {
      $($(#[$doc])* pub $name: Option<$type>,)*
    }

    impl Overrides {
      /// Returns whether the named knob is overridden.
      pub fn names(&self, name: &str) -> bool {
        match name {
          $(stringify!($name) => self.$name.is_some(),)*
          _ => false,
        }
      }

      /// Reads the overrides of one level.
      pub(super) fn read(node: Option<Node<'_, '_>>, level: Level) -> Option<Self> {
        let mut overrides = Self::default();
        let Some(node) = node else {
          return Some(overrides);
        };
        let mut map = node.map()?;
        $(
          if let Some(node) = map.get(stringify!($name)) {
            let levels = [$(Level::$level),*];
            if levels.contains(&level) {
              overrides.$name = $read(&node, &$range);
            } else {
              let allowed = levels.map(|level| level.to_string()).join(", ");
              node.fault(format!("an override by a {level}"), format!("overrides by: {allowed}"));
            }
          }
        )*
        map.finish();
        Some(overrides)
      }
    }
  };
}

knobs! {
  /// Most bytes of an answer that is kept for a repeated request.
  answer_bytes: u64, read_size, show_size = 64 * KIB, KIB..=16 * MIB, [Operator Service Account];

  /// Most bytes of a request body.
  body_bytes: u64, read_size, show_size = MIB, KIB..=1024 * MIB, [Operator Service Account];

  /// Most jobs that a target in its cold start bears from all hosts together.
  cold_jobs: u64, read_count, show_count = 2, 0..=10_000, [Operator Service DataCentre];

  /// Most jobs of one client account in hand at one host.
  concurrent_jobs: u64, read_count, show_count = 256, 1..=100_000, [Operator Account];

  /// Longest wait for a connection to a target.
  connect_timeout: Duration, read_duration, show_duration = secs(1), ms(10)..=secs(30), [Operator Service DataCentre];

  /// Longest time from a request to the end of its answer.
  deadline: Duration, read_duration, show_duration = secs(600), ms(100)..=days(1), [Operator Service Account];

  /// Time after which a leaving host tells callers to reattach elsewhere.
  drain_bound: Duration, read_duration, show_duration = secs(60), ms(100)..=days(1), [Operator];

  /// Time for which callers may keep an answer of `/v1/entries`.
  entries_keep: Duration, read_duration, show_duration = secs(10), ms(100)..=secs(600), [Operator];

  /// Longest wait for the first token of a generation.
  first_token_timeout: Duration, read_duration, show_duration = secs(30), ms(50)..=secs(3600), [Operator Service DataCentre];

  /// Oldest view of the host list with which the owner of a duty acts.
  fresh_bound: Duration, read_duration, show_duration = secs(20), ms(100)..=secs(600), [Operator];

  /// Time for which a grant of an owner may be used.
  grant_life: Duration, read_duration, show_duration = secs(2), ms(10)..=secs(60), [Operator];

  /// Most jobs in hand at one target from one host.
  in_hand: u64, read_count, show_count = 64, 1..=100_000, [Operator Service DataCentre];

  /// Time without word from the platform or another host after which a host takes no new jobs.
  isolation_bound: Duration, read_duration, show_duration = secs(60), ms(500)..=days(1), [Operator];

  /// Longest time for which the platform may still show an older host list.
  list_lag: Duration, read_duration, show_duration = secs(5), ms(10)..=secs(600), [Operator];

  /// Most tokens of one generation.
  output_tokens: u64, read_count, show_count = 32_768, 1..=1_000_000, [Operator Service Account];

  /// Priority at the engines, larger first.
  priority: u64, read_count, show_count = 5, 0..=9, [Operator Service Account];

  /// Time for which a generation waits for its caller to reattach.
  reattach_window: Duration, read_duration, show_duration = secs(30), secs(1)..=secs(3600), [Operator Service];

  /// Longest time by which a target's report of its load is late.
  report_lag: Duration, read_duration, show_duration = secs(2), ms(10)..=secs(60), [Operator];

  /// Most times a job is sent to a further target.
  reruns: u64, read_count, show_count = 2, 0..=10, [Operator Service Account];

  /// Most times a generation is resumed in a row without a new token.
  resumes: u64, read_count, show_count = 6, 0..=100, [Operator Service];

  /// Retries that an account or a target may cause, as a share of its jobs in percent.
  retry_percent: u64, read_count, show_count = 20, 0..=100, [Operator];

  /// Longest wait for the next token before the generation is resumed.
  stall_timeout: Duration, read_duration, show_duration = secs(5), ms(20)..=secs(600), [Operator Service DataCentre];

  /// Time for which a ticket names its home.
  ticket_life: Duration, read_duration, show_duration = secs(30), secs(1)..=secs(3600), [Operator];
}
