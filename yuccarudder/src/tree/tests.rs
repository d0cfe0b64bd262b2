use {super::*, proptest::prelude::*, std::fmt::Write, yare::parameterized};

const VALID: &str = "\
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

fn valid_tree() -> Tree {
  Tree::parse("tree", VALID).unwrap()
}

/// Tests that a replacement in the valid tree causes the given fault first.
macro_rules! reports {
  ($name:ident, $old:expr => $new:expr, $fault:expr) => {
    #[test]
    fn $name() {
      assert!(
        VALID.contains($old),
        "the valid tree does not contain the text to replace"
      );
      let faults = Tree::parse("tree", &VALID.replace($old, $new)).unwrap_err();
      assert_eq!(faults[0].to_string(), $fault);
    }
  };
}

reports!(
  account_overrides_engine_setting,
  "overrides: {deadline: 30s}" => "overrides: {stall_timeout: 1s}",
  "tree:21: accounts.clerks.overrides.stall_timeout: found an override at the level `client account`, \
   allowed: overrides at the levels: operator, service, data centre"
);
reports!(
  credential_in_plain_text,
  "2c26b46b68ffc68ff99b453c1d30413413422d706483bfa0f98a5e886266e7ae" => "secret",
  "tree:20: accounts.clerks.credentials.0: found `secret`, \
   allowed: the SHA-256 digest of a credential as 64 hexadecimal digits"
);
reports!(
  repeatable_requests_of_an_engine,
  "    traits: {fencing: true, resume: true}\n" => "    repeatable: [{method: GET, path: /a}]\n",
  "tree:8: services.planner-llm: found `repeatable` in a service of kind `engine`, \
   allowed: `repeatable` in a service of kind `plain`"
);
reports!(
  short_secret,
  "BwcHBwcHBwcHBwcHBwcHBwcHBwcHBwcHBwcHBwcHBwc=" => "BwcH",
  "tree:2: keys.0.secret: found an invalid secret, allowed: at least 32 bytes as base64"
);
reports!(
  short_ticket_life,
  "operator: rig" => "operator: rig\noverrides: {entries_keep: 20s, ticket_life: 30s}",
  "tree:1: found a ticket_life below twice entries_keep, \
   allowed: a ticket_life of at least twice entries_keep, so that a request can be sent again with its idempotency key"
);
reports!(
  unknown_data_centre,
  "\"10.0.1.1:80\", data_centre: kochi" => "\"10.0.1.1:80\", data_centre: kollam",
  "tree:12: services.planner-llm.targets.p1.data_centre: found `kollam`, \
   allowed: the name of a data centre of this tree"
);

#[parameterized(
  account_over_service = { "services/planner-llm/accounts/clerks/deadline", "deadline = 30s (client account)" },
  built_in_value = { "services/planner-llm/reruns", "reruns = 2 (built-in)" },
  data_centre_over_service = { "services/planner-llm/data_centres/tvm/stall_timeout", "stall_timeout = 9s (data centre)" },
  service_over_built_in = { "services/planner-llm/data_centres/kochi/stall_timeout", "stall_timeout = 3s (service)" },
)]
fn explains_value_and_level(path: &str, expected: &str) {
  let explanations = explain(&valid_tree(), path).unwrap();
  assert_eq!(explanations.len(), 1);
  assert_eq!(explanations[0].to_string(), expected);
}

#[parameterized(
  unknown_level = { "regions/south" },
  unknown_name = { "services/none" },
)]
fn explain_rejects_unknown_part(path: &str) {
  explain(&valid_tree(), path).unwrap_err();
}

#[parameterized(
  same_path = { "/closures", true },
  path_below = { "/closures/7", true },
  longer_segment = { "/closures-all", false },
  other_path = { "/fees", false },
)]
fn repeatable_requests_match_by_method_and_path(path: &str, expected: bool) {
  let tree = valid_tree();
  let service = &tree.services[tree.service("permit-desk").unwrap()];
  assert_eq!(service.is_repeatable("GET", path), expected);
  assert!(!service.is_repeatable("POST", path));
}

#[test]
fn only_targets_in_service_take_work() {
  let tree = valid_tree();
  let available = tree.targets.values().filter(|target| tree.takes_work(target));
  let names: Vec<&str> = available.map(|target| target.name.as_str()).collect();
  assert_eq!(names, ["p1"]);
}

#[test]
fn account_is_found_by_its_credential() {
  let tree = valid_tree();
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

/// Renders a tree with the given overrides, in seconds, in the order of [`LEVELS`].
///
/// Client accounts override `deadline`, the other levels override `stall_timeout`.
fn render(seconds: [Option<u64>; 4]) -> String {
  let overrides = |level: usize, setting: &str| {
    seconds[level].map_or("{}".into(), |value| format!("{{{setting}: {value}s}}"))
  };
  let mut text = String::from("operator: rig\n");
  let secret = "BwcHBwcHBwcHBwcHBwcHBwcHBwcHBwcHBwcHBwcHBwc=";
  let _ = writeln!(text, "keys: [{{id: k1, secret: {secret}}}]");
  let _ = writeln!(text, "overrides: {}", overrides(0, "stall_timeout"));
  let _ = writeln!(
    text,
    "services: {{s: {{kind: plain, overrides: {}}}}}",
    overrides(1, "stall_timeout")
  );
  let _ = writeln!(
    text,
    "data_centres: {{d: {{overrides: {}}}}}",
    overrides(2, "stall_timeout")
  );
  let _ = writeln!(
    text,
    "accounts: {{a: {{credentials: [], overrides: {}}}}}",
    overrides(3, "deadline")
  );
  text
}

proptest! {
  #[test]
  fn highest_level_takes_precedence(seconds in prop::array::uniform4(prop::option::of(1_u64..600))) {
    let tree = Tree::parse("tree", &render(seconds)).unwrap();
    let settings = tree.settings(tree.service("s"), tree.data_centre("d"), tree.account_by_name("a"));
    let highest = (0..3).rev().find(|level| seconds[*level].is_some());
    let expected = highest.and_then(|level| seconds[level]).unwrap_or(5);
    prop_assert_eq!(settings.stall_timeout.as_secs(), expected);
    prop_assert_eq!(settings.deadline.as_secs(), seconds[3].unwrap_or(600));
    let explanations = explain(&tree, "services/s/data_centres/d/accounts/a/stall_timeout").unwrap();
    prop_assert_eq!(explanations[0].level, highest.map_or(Level::BuiltIn, |level| LEVELS[level]));
  }

  #[test]
  fn parsing_depends_on_the_text_alone(position in 0_usize..VALID.len(), insertion in "[ -~]{0,8}") {
    let position = (0..=position).rev().find(|at| VALID.is_char_boundary(*at)).unwrap();
    let text = format!("{}{insertion}{}", &VALID[..position], &VALID[position..]);
    let first = Tree::parse("tree", &text).map(|tree| format!("{:?}", tree.operator_settings()));
    let second = Tree::parse("tree", &text).map(|tree| format!("{:?}", tree.operator_settings()));
    prop_assert_eq!(first, second);
  }
}
