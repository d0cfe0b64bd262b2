use super::*;

const VALID: &str = "callers: \"10.0.0.1:8080\"\ndata_centre: kochi\noperators: \"10.0.0.1:9090\"\n\
  peers: \"10.0.0.1:7070\"\nplatform: \"10.0.0.9:80\"\n";

/// Tests that lines added to a valid file cause exactly the given faults.
macro_rules! reports {
  ($name:ident, $lines:expr, [$($fault:expr),* $(,)?]) => {
    #[test]
    fn $name() {
      let faults = Host::parse("host.yaml", &format!("{VALID}{}", $lines)).unwrap_err();
      let faults: Vec<String> = faults.iter().map(ToString::to_string).collect();
      let expected: Vec<&str> = vec![$($fault),*];
      assert_eq!(faults, expected);
    }
  };
}

reports!(
  unknown_key,
  "data_center: kochi\n",
  [
    "host.yaml:6: data_center: found the unknown key `data_center`, allowed: callers, data_centre, key, log, operators, peers, platform, poll, seeds"
  ]
);
reports!(
  unknown_unit,
  "poll: 10 apples\n",
  ["host.yaml:6: poll: found `10 apples`, allowed: a duration with a unit, from 100ms to 1m"]
);
reports!(
  value_not_allowed,
  "poll: 3h\nlog: xml\n",
  [
    "host.yaml:6: poll: found `3h`, allowed: a duration with a unit, from 100ms to 1m",
    "host.yaml:7: log: found `xml`, allowed: json, text",
  ]
);

reports!(
  seeds_without_a_key,
  "seeds: [\"10.0.0.2:7070\"]\n",
  ["host.yaml:1: found `seeds` without `key`, allowed: `seeds` together with `key`"]
);

#[test]
fn valid_file_is_parsed() {
  let host = Host::parse("host.yaml", VALID).unwrap();
  assert_eq!(host.callers.to_string(), "10.0.0.1:8080");
  assert_eq!(host.log, LogFormat::Text);
}

#[test]
fn every_missing_key_is_reported() {
  let faults = Host::parse("host.yaml", "{}").unwrap_err();
  assert_eq!(faults.len(), 5);
}
