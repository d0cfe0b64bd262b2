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

fn format_count(value: u64) -> String {
  value.to_string()
}

fn format_duration(value: Duration) -> String {
  humantime::format_duration(value).to_string()
}

fn format_size(value: u64) -> String {
  bytesize::ByteSize(value).to_string()
}

/// Defines the settings.
///
/// Each has a name, type, reader, formatter, built-in value, range of allowed values and the
/// levels that may override it.
macro_rules! settings {
  {
    $(
      $(#[$doc:meta])*
      $name:ident: $type:ty, $read:ident, $format:ident = $default:expr, $range:expr, [$($level:ident)*];
    )*
  } => {
    /// The effective settings for one combination of service, data centre and client account.
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
      /// The names of all settings, in alphabetical order.
      pub const NAMES: &'static [&'static str] = &[$(stringify!($name)),*];

      /// Returns a copy with the values of `overrides` in place of its own.
      #[must_use]
      pub fn with_overrides(mut self, overrides: &Overrides) -> Self {
        $(if let Some(value) = overrides.$name { self.$name = value; })*
        self
      }

      /// Returns the formatted value of the named setting, if there is such a setting.
      pub fn format_value(&self, name: &str) -> Option<String> {
        match name {
          $(stringify!($name) => Some($format(self.$name)),)*
          _ => None,
        }
      }
    }

    /// The settings that one entry of the tree overrides, such as a service.
    #[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
    pub struct Overrides {
      $($(#[$doc])* pub $name: Option<$type>,)*
    }

    impl Overrides {
      /// Returns whether the named setting is overridden.
      pub fn contains(&self, name: &str) -> bool {
        match name {
          $(stringify!($name) => self.$name.is_some(),)*
          _ => false,
        }
      }

      /// Reads the overrides of an entry at `level`.
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
              node.fault(format!("an override at the level `{level}`"), format!("overrides at the levels: {allowed}"));
            }
          }
        )*
        map.finish();
        Some(overrides)
      }
    }
  };
}

settings! {
  /// Largest answer, in bytes, that is kept to answer a repeated request.
  answer_bytes: u64, read_size, format_size = 64 * KIB, KIB..=16 * MIB, [Operator Service Account];

  /// Largest request body, in bytes.
  body_bytes: u64, read_size, format_size = MIB, KIB..=1024 * MIB, [Operator Service Account];

  /// Limit on concurrent jobs of all hosts together at a target in its cold start.
  cold_jobs: u64, read_count, format_count = 2, 0..=10_000, [Operator Service DataCentre];

  /// Limit on concurrent jobs of one client account at one host.
  concurrent_jobs: u64, read_count, format_count = 256, 1..=100_000, [Operator Account];

  /// Timeout of connecting to a target.
  connect_timeout: Duration, read_duration, format_duration = secs(1), ms(10)..=secs(30), [Operator Service DataCentre];

  /// Longest time from the arrival of a request to the end of its response.
  deadline: Duration, read_duration, format_duration = secs(600), ms(100)..=days(1), [Operator Service Account];

  /// Time after which a draining host directs callers to reattach at another host.
  drain_bound: Duration, read_duration, format_duration = secs(60), ms(100)..=days(1), [Operator];

  /// Time for which callers may cache a response of `/v1/entries`.
  entries_keep: Duration, read_duration, format_duration = secs(10), ms(100)..=secs(600), [Operator];

  /// Timeout of the first token of a generation.
  first_token_timeout: Duration, read_duration, format_duration = secs(30), ms(50)..=secs(3600), [Operator Service DataCentre];

  /// Largest age of the host list at which a host may issue grants as the owner of a target.
  fresh_bound: Duration, read_duration, format_duration = secs(20), ms(100)..=secs(600), [Operator];

  /// Time for which a grant is valid; the owner of a target grants jobs during its cold start.
  grant_life: Duration, read_duration, format_duration = secs(2), ms(10)..=secs(60), [Operator];

  /// Limit on concurrent jobs of one host at one target.
  in_hand: u64, read_count, format_count = 64, 1..=100_000, [Operator Service DataCentre];

  /// Time after which a host that has heard neither from the platform nor from any other host
  /// takes no new jobs.
  isolation_bound: Duration, read_duration, format_duration = secs(60), ms(500)..=days(1), [Operator];

  /// Longest time for which the platform may still serve an outdated host list.
  list_lag: Duration, read_duration, format_duration = secs(5), ms(10)..=secs(600), [Operator];

  /// Limit on the tokens of one generation.
  output_tokens: u64, read_count, format_count = 32_768, 1..=1_000_000, [Operator Service Account];

  /// Scheduling priority at the engines; larger values go first.
  priority: u64, read_count, format_count = 5, 0..=9, [Operator Service Account];

  /// Time for which a generation is kept for its caller to reattach.
  reattach_window: Duration, read_duration, format_duration = secs(30), secs(1)..=secs(3600), [Operator Service];

  /// Largest delay of a target's load report.
  report_lag: Duration, read_duration, format_duration = secs(2), ms(10)..=secs(60), [Operator];

  /// Limit on how often a job is sent to another target.
  reruns: u64, read_count, format_count = 2, 0..=10, [Operator Service Account];

  /// Limit on consecutive resumptions of a generation without a new token.
  resumes: u64, read_count, format_count = 6, 0..=100, [Operator Service];

  /// Limit on the retries per client account and per target, in percent of their jobs.
  retry_percent: u64, read_count, format_count = 20, 0..=100, [Operator];

  /// Timeout of the next token, after which the generation is resumed.
  stall_timeout: Duration, read_duration, format_duration = secs(5), ms(20)..=secs(600), [Operator Service DataCentre];

  /// Time for which a ticket is valid; a ticket binds idempotency keys to the host that issued it.
  ticket_life: Duration, read_duration, format_duration = secs(30), secs(1)..=secs(3600), [Operator];
}
