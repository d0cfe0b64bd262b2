use {super::*, proptest::prelude::*, std::fmt::Write, yare::parameterized};

const GOOD: &str = "\
operator: rig
keys: [{id: k1, secret: BwcHBwcHBwcHBwcHBwcHBwcHBwcHBwcHBwcHBwcHBwc=}]
data_centres:
  kochi: {}
  tvm: {state: out, overrides: {stall_timeout: 9s}}
services:
  planner-llm:
    kind: engine
    traits: {fencing: true, resume: true}
    overrides: {deadline: 2m, stall_timeout: 3s}
    targets:
      p1: {address: \"10.0.1.1:80\", data_centre: kochi}
      p2: {address: \"10.0.1.2:80\", data_centre: tvm}
      p3: {address: \"10.0.1.3:80\", data_centre: kochi, state: leaving}
  permit-desk:
    kind: plain
    repeatable: [{method: GET, path: /closures}]
accounts:
  clerks:
    credentials: [\"2c26b46b68ffc68ff99b453c1d30413413422d706483bfa0f98a5e886266e7ae\"]
    overrides: {deadline: 30s}
";

fn good() -> Tree {
  Tree::parse("tree", GOOD).unwrap()
}

/// Names a case: a replacement in a good tree and the first fault that it must cause.
macro_rules! refused {
  ($name:ident, $old:expr => $new:expr, $fault:expr) => {
    #[test]
    fn $name() {
      assert!(GOOD.contains($old), "the good tree has no such text");
      let faults = Tree::parse("tree", &GOOD.replace($old, $new)).unwrap_err();
      assert_eq!(faults[0].to_string(), $fault);
    }
  };
}

refused!(
  account_overrides_engine_knob,
  "overrides: {deadline: 30s}" => "overrides: {stall_timeout: 1s}",
  "tree:21: accounts.clerks.overrides.stall_timeout: found an override by a client account, \
   allowed: overrides by: operator, service, data centre"
);
refused!(
  credential_in_clear,
  "2c26b46b68ffc68ff99b453c1d30413413422d706483bfa0f98a5e886266e7ae" => "secret",
  "tree:20: accounts.clerks.credentials.0: found `secret`, \
   allowed: the SHA-256 digest of a credential as 64 hexadecimal digits"
);
refused!(
  repeatable_at_an_engine,
  "    traits: {fencing: true, resume: true}\n" => "    repeatable: [{method: GET, path: /a}]\n",
  "tree:8: services.planner-llm: found `repeatable` at an engine, \
   allowed: `repeatable` at a plain service"
);
refused!(
  short_secret,
  "BwcHBwcHBwcHBwcHBwcHBwcHBwcHBwcHBwcHBwcHBwc=" => "BwcH",
  "tree:2: keys.0.secret: found a secret that does not fit, allowed: at least 32 bytes as base64"
);
refused!(
  short_ticket_life,
  "operator: rig" => "operator: rig\noverrides: {entries_keep: 20s, ticket_life: 30s}",
  "tree:1: found a ticket_life below twice entries_keep, \
   allowed: a ticket_life of at least twice entries_keep, so that a key can be sent again"
);
refused!(
  unknown_data_centre,
  "\"10.0.1.1:80\", data_centre: kochi" => "\"10.0.1.1:80\", data_centre: kollam",
  "tree:12: services.planner-llm.targets.p1.data_centre: found `kollam`, \
   allowed: the name of a data centre of this tree"
);

#[parameterized(
  account_over_service = { "services/planner-llm/accounts/clerks/deadline", "deadline = 30s (client account)" },
  built_in = { "services/planner-llm/reruns", "reruns = 2 (built-in)" },
  data_centre_over_service = { "services/planner-llm/data_centres/tvm/stall_timeout", "stall_timeout = 9s (data centre)" },
  service = { "services/planner-llm/data_centres/kochi/stall_timeout", "stall_timeout = 3s (service)" },
)]
fn explains(path: &str, expected: &str) {
  let explanations = explain(&good(), path).unwrap();
  assert_eq!(explanations.len(), 1);
  assert_eq!(explanations[0].to_string(), expected);
}

#[parameterized(
  unknown_level = { "regions/south" },
  unknown_name = { "services/none" },
)]
fn explains_nothing(path: &str) {
  explain(&good(), path).unwrap_err();
}

#[parameterized(
  itself = { "/closures", true },
  below = { "/closures/7", true },
  longer_name = { "/closures-all", false },
  other = { "/fees", false },
)]
fn repeatable_calls(path: &str, expected: bool) {
  let tree = good();
  let service = &tree.services[tree.service("permit-desk").unwrap()];
  assert_eq!(service.is_repeatable("GET", path), expected);
  assert!(!service.is_repeatable("POST", path));
}

#[test]
fn only_targets_in_service_take_work() {
  let tree = good();
  let open = tree.targets.values().filter(|target| tree.takes_work(target));
  let names: Vec<&str> = open.map(|target| target.name.as_str()).collect();
  assert_eq!(names, ["p1"]);
}

#[test]
fn account_is_found_by_its_credential() {
  let tree = good();
  let account = tree.account_by_credential("foo").unwrap();
  assert_eq!(tree.accounts[account].name, "clerks");
  assert!(tree.account_by_credential("bar").is_none());
}

const LEVELS: [Level; 4] = [
  Level::Operator,
  Level::Service,
  Level::DataCentre,
  Level::Account,
];

/// Renders a tree whose levels override `deadline` or `stall_timeout` as given, in seconds.
fn render(seconds: [Option<u64>; 4]) -> String {
  let line = |level: usize, knob: &str| {
    seconds[level].map_or("{}".into(), |value| format!("{{{knob}: {value}s}}"))
  };
  let mut text = String::from("operator: rig\n");
  let secret = "BwcHBwcHBwcHBwcHBwcHBwcHBwcHBwcHBwcHBwcHBwc=";
  let _ = writeln!(text, "keys: [{{id: k1, secret: {secret}}}]");
  let _ = writeln!(text, "overrides: {}", line(0, "stall_timeout"));
  let _ = writeln!(
    text,
    "services: {{s: {{kind: plain, overrides: {}}}}}",
    line(1, "stall_timeout")
  );
  let _ = writeln!(
    text,
    "data_centres: {{d: {{overrides: {}}}}}",
    line(2, "stall_timeout")
  );
  let _ = writeln!(
    text,
    "accounts: {{a: {{credentials: [], overrides: {}}}}}",
    line(3, "deadline")
  );
  text
}

proptest! {
  #[test]
  fn strongest_level_wins(seconds in prop::array::uniform4(prop::option::of(1_u64..600))) {
    let tree = Tree::parse("tree", &render(seconds)).unwrap();
    let knobs = tree.settings(tree.service("s"), tree.data_centre("d"), tree.account_by_name("a"));
    let strongest = (0..3).rev().find(|level| seconds[*level].is_some());
    let expected = strongest.and_then(|level| seconds[level]).unwrap_or(5);
    prop_assert_eq!(knobs.stall_timeout.as_secs(), expected);
    prop_assert_eq!(knobs.deadline.as_secs(), seconds[3].unwrap_or(600));
    let explained = explain(&tree, "services/s/data_centres/d/accounts/a/stall_timeout").unwrap();
    prop_assert_eq!(explained[0].level, strongest.map_or(Level::BuiltIn, |level| LEVELS[level]));
  }

  #[test]
  fn acceptance_depends_on_the_text_alone(cut in 0_usize..GOOD.len(), junk in "[ -~]{0,8}") {
    let cut = (0..=cut).rev().find(|at| GOOD.is_char_boundary(*at)).unwrap();
    let text = format!("{}{junk}{}", &GOOD[..cut], &GOOD[cut..]);
    let first = Tree::parse("tree", &text).map(|tree| format!("{:?}", tree.operator_settings()));
    let second = Tree::parse("tree", &text).map(|tree| format!("{:?}", tree.operator_settings()));
    prop_assert_eq!(first, second);
  }
}
