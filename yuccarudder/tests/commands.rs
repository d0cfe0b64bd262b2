//! Output and exit status of the subcommands.

use {
  rig::fleet::{CREDENTIAL, Fleet, MODEL, Options, SERVICE},
  std::{
    path::PathBuf,
    process::{Command, Output},
  },
  yare::parameterized,
  yuccarudder::{refusal::Reason, tree::Settings},
};

fn example_path(path: &str) -> String {
  let root = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../examples").join(path);
  root.display().to_string()
}

fn run_command(arguments: &[&str]) -> Output {
  Command::new(env!("CARGO_BIN_EXE_yuccarudder"))
    .args(arguments)
    .env("YUCCARUDDER_CREDENTIAL", CREDENTIAL)
    .output()
    .unwrap()
}

fn decode(bytes: &[u8]) -> String {
  String::from_utf8_lossy(bytes).into_owned()
}

#[parameterized(
  hsinchu = { "hsinchu" },
  utsavam = { "utsavam" },
)]
fn examples_have_no_faults(name: &str) {
  let output = run_command(&[
    "check",
    "--settings",
    &example_path(&format!("{name}/host.yaml")),
    "--tree",
    &example_path(&format!("{name}/tree.yaml")),
    "--hosts",
    &example_path(&format!("{name}/hosts.yaml")),
  ]);
  assert_eq!(decode(&output.stdout), "no faults\n");
  assert!(output.status.success());
}

#[test]
fn documentation_lists_every_refusal_reason_and_setting() {
  let callers_page = include_str!("../../docs/CALLERS.md");
  for reason in Reason::ALL {
    let row = format!("| `{}` | {} |", reason.name(), reason.status().as_u16());
    assert!(
      callers_page.contains(&row),
      "docs/CALLERS.md has no row {row}"
    );
  }
  let operations_page = include_str!("../../docs/OPERATIONS.md");
  for name in Settings::NAMES {
    let row = format!("| `{name}` | ");
    assert!(
      operations_page.contains(&row),
      "docs/OPERATIONS.md has no row {row}"
    );
  }
}

#[test]
fn check_reports_every_fault() {
  let directory = tempfile::tempdir().unwrap();
  let path = directory.path().join("host.yaml");
  std::fs::write(&path, "callers: here\npoll: soon\n").unwrap();
  let output = run_command(&["check", "--settings", path.to_str().unwrap()]);
  assert_eq!(decode(&output.stdout).lines().count(), 6);
  assert!(decode(&output.stderr).contains("6 faults found; correct them and check again"));
  assert!(!output.status.success());
}

#[test]
fn explain_shows_the_level_of_each_value() {
  let tree = example_path("utsavam/tree.yaml");
  let path = "services/planner-llm/accounts/crews";
  let output = run_command(&["explain", "--tree", &tree, &format!("{path}/stall_timeout")]);
  assert_eq!(decode(&output.stdout), "stall_timeout = 2s (service)\n");
  let output = run_command(&["explain", "--tree", &tree, path]);
  assert!(decode(&output.stdout).contains("priority = 9 (client account)\n"));
  assert!(decode(&output.stdout).contains("in_hand = 64 (built-in)\n"));
}

#[test]
fn serve_refuses_a_faulty_settings_file() {
  let directory = tempfile::tempdir().unwrap();
  let path = directory.path().join("host.yaml");
  std::fs::write(&path, "{}").unwrap();
  let output = run_command(&["serve", "--settings", path.to_str().unwrap()]);
  assert!(decode(&output.stderr).contains("5 faults; correct them and start again"));
  assert!(!output.status.success());
}

#[tokio::test(flavor = "multi_thread")]
async fn ask_and_status_reach_a_running_host() {
  let fleet = Fleet::start(Options::default()).await.unwrap();
  let settings = fleet.hosts[0].settings.clone();
  let address = settings.callers.to_string();
  tokio::task::spawn_blocking(move || {
    let output = run_command(&[
      "ask",
      "--host",
      &address,
      "--model",
      MODEL,
      "--max-tokens",
      "3",
    ]);
    let token_count = decode(&output.stdout).split_whitespace().count();
    assert!((1..=3).contains(&token_count), "{output:?}");
    let service_arguments = [
      "ask",
      "--host",
      &address,
      "--service",
      SERVICE,
      "--method",
      "POST",
    ];
    let request_arguments = ["--path", "bookings", "--body", "seat 4", "--once", "seat 4"];
    let output = run_command(&[&service_arguments[..], &request_arguments[..]].concat());
    assert_eq!(decode(&output.stdout), "booked seat 4 run 1\n\n");
    let output = run_command(&["ask", "--host", &address, "--model", "none"]);
    assert!(
      decode(&output.stderr).contains("not_found (not_run)"),
      "{output:?}"
    );
    let output = run_command(&["status", &settings.operators.to_string()]);
    let status: serde_json::Value = serde_json::from_slice(&output.stdout).unwrap();
    assert_eq!(status["settings"]["revision"], 1);
    assert_eq!(status["hosts"].as_array().unwrap().len(), 3);
  })
  .await
  .unwrap();
}
