//! The command line: what it prints and how it ends.

use {
  rig::fleet::{CREDENTIAL, Fleet, MODEL, Options, SERVICE},
  std::{
    path::PathBuf,
    process::{Command, Output},
  },
  yare::parameterized,
  yuccarudder::{refusal::Reason, tree::Knobs},
};

fn example(path: &str) -> String {
  let root = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../examples").join(path);
  root.display().to_string()
}

fn run(arguments: &[&str]) -> Output {
  Command::new(env!("CARGO_BIN_EXE_yuccarudder"))
    .args(arguments)
    .env("YUCCARUDDER_CREDENTIAL", CREDENTIAL)
    .output()
    .unwrap()
}

fn text(bytes: &[u8]) -> String {
  String::from_utf8_lossy(bytes).into_owned()
}

#[parameterized(
  hsinchu = { "hsinchu" },
  utsavam = { "utsavam" },
)]
fn examples_have_no_faults(name: &str) {
  let output = run(&[
    "check",
    "--settings",
    &example(&format!("{name}/host.yaml")),
    "--tree",
    &example(&format!("{name}/tree.yaml")),
    "--hosts",
    &example(&format!("{name}/hosts.yaml")),
  ]);
  assert_eq!(text(&output.stdout), "no faults\n");
  assert!(output.status.success());
}

#[test]
fn pages_name_every_refusal_and_every_knob() {
  let callers = include_str!("../../docs/CALLERS.md");
  for reason in Reason::ALL {
    let row = format!("| `{}` | {} |", reason.name(), reason.status().as_u16());
    assert!(callers.contains(&row), "docs/CALLERS.md has no row {row}");
  }
  let operations = include_str!("../../docs/OPERATIONS.md");
  for knob in Knobs::NAMES {
    let row = format!("| `{knob}` | ");
    assert!(
      operations.contains(&row),
      "docs/OPERATIONS.md has no row {row}"
    );
  }
}

#[test]
fn check_reports_every_fault() {
  let directory = tempfile::tempdir().unwrap();
  let path = directory.path().join("host.yaml");
  std::fs::write(&path, "callers: here\npoll: soon\n").unwrap();
  let output = run(&["check", "--settings", path.to_str().unwrap()]);
  assert_eq!(text(&output.stdout).lines().count(), 6);
  assert!(text(&output.stderr).contains("6 faults found; correct them and check again"));
  assert!(!output.status.success());
}

#[test]
fn explain_names_the_level() {
  let tree = example("utsavam/tree.yaml");
  let path = "services/planner-llm/accounts/crews";
  let output = run(&["explain", "--tree", &tree, &format!("{path}/stall_timeout")]);
  assert_eq!(text(&output.stdout), "stall_timeout = 2s (service)\n");
  let output = run(&["explain", "--tree", &tree, path]);
  assert!(text(&output.stdout).contains("priority = 9 (client account)\n"));
  assert!(text(&output.stdout).contains("in_hand = 64 (built-in)\n"));
}

#[test]
fn serve_refuses_a_faulty_settings_file() {
  let directory = tempfile::tempdir().unwrap();
  let path = directory.path().join("host.yaml");
  std::fs::write(&path, "{}").unwrap();
  let output = run(&["serve", "--settings", path.to_str().unwrap()]);
  assert!(text(&output.stderr).contains("5 faults; correct them and start again"));
  assert!(!output.status.success());
}

#[tokio::test(flavor = "multi_thread")]
async fn ask_and_status_reach_a_running_host() {
  let fleet = Fleet::start(Options::default()).await.unwrap();
  let settings = fleet.hosts[0].settings.clone();
  let host = settings.callers.to_string();
  tokio::task::spawn_blocking(move || {
    let output = run(&[
      "ask",
      "--host",
      &host,
      "--model",
      MODEL,
      "--max-tokens",
      "3",
    ]);
    let words = text(&output.stdout).split_whitespace().count();
    assert!((1..=3).contains(&words), "{output:?}");
    let call = [
      "ask",
      "--host",
      &host,
      "--service",
      SERVICE,
      "--method",
      "POST",
    ];
    let rest = ["--path", "bookings", "--body", "seat 4", "--once", "seat 4"];
    let output = run(&[&call[..], &rest[..]].concat());
    assert_eq!(text(&output.stdout), "booked seat 4 run 1\n\n");
    let output = run(&["ask", "--host", &host, "--model", "none"]);
    assert!(
      text(&output.stderr).contains("not_found (not_run)"),
      "{output:?}"
    );
    let output = run(&["status", &settings.operators.to_string()]);
    let status: serde_json::Value = serde_json::from_slice(&output.stdout).unwrap();
    assert_eq!(status["settings"]["revision"], 1);
    assert_eq!(status["hosts"].as_array().unwrap().len(), 3);
  })
  .await
  .unwrap();
}
