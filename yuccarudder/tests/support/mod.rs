//! Entry hosts in child processes, with the stand-ins of a test as their targets and platform.

use {
  nix::{
    sys::signal::{self, Signal},
    unistd::Pid,
  },
  rig::fleet::{Fleet, Options},
  std::{
    fs,
    net::TcpStream,
    process::{Child, Command, ExitStatus, Stdio},
    time::{Duration, Instant},
  },
  tempfile::TempDir,
  yuccarudder::settings,
};

const TIMEOUT: Duration = Duration::from_secs(30);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// An entry host in a child process, which is killed on drop.
pub struct Process {
  child: Child,
}

impl Process {
  pub fn signal(&self, signal: Signal) {
    let pid = Pid::from_raw(self.child.id().try_into().unwrap());
    signal::kill(pid, signal).unwrap();
  }

  pub async fn wait(&mut self) -> ExitStatus {
    let start = Instant::now();
    loop {
      if let Some(status) = self.child.try_wait().unwrap() {
        return status;
      }
      assert!(start.elapsed() < TIMEOUT, "the process did not exit");
      tokio::time::sleep(POLL_INTERVAL).await;
    }
  }
}

impl Drop for Process {
  fn drop(&mut self) {
    let _ = self.child.kill();
    let _ = self.child.wait();
  }
}

/// A fleet whose hosts run in child processes.
pub struct Processes {
  settings_directory: TempDir,
  pub fleet: Fleet,
  pub hosts: Vec<Process>,
}

impl Processes {
  pub async fn start(options: Options) -> Self {
    let fleet = Fleet::start_without_hosts(options).await.unwrap();
    let mut processes = Self {
      settings_directory: tempfile::tempdir().unwrap(),
      fleet,
      hosts: Vec::new(),
    };
    for index in 0..processes.fleet.hosts.len() {
      let process = processes.spawn(index).await;
      processes.hosts.push(process);
    }
    processes
  }

  pub async fn spawn(&self, index: usize) -> Process {
    let settings = &self.fleet.hosts[index].settings;
    let path = self.settings_directory.path().join(format!("host{index}.yaml"));
    fs::write(&path, render_settings(settings)).unwrap();
    let child = Command::new(env!("CARGO_BIN_EXE_yuccarudder"))
      .args(["serve", "--settings"])
      .arg(&path)
      .stderr(Stdio::null())
      .spawn()
      .unwrap();
    let process = Process { child };
    let start = Instant::now();
    while !is_ready(settings) {
      assert!(
        start.elapsed() < TIMEOUT,
        "host {index} did not become ready"
      );
      tokio::time::sleep(POLL_INTERVAL).await;
    }
    process
  }
}

fn is_ready(settings: &settings::Host) -> bool {
  use std::io::{Read, Write};
  let Ok(mut stream) = TcpStream::connect(settings.operators) else {
    return false;
  };
  let request = "GET /ready HTTP/1.1\r\nhost: test\r\nconnection: close\r\n\r\n";
  let mut response = String::new();
  stream.write_all(request.as_bytes()).is_ok()
    && stream.read_to_string(&mut response).is_ok()
    && response.starts_with("HTTP/1.1 200")
}

fn render_settings(settings: &settings::Host) -> String {
  let settings::Host {
    callers,
    data_centre,
    operators,
    peers,
    platform,
    ..
  } = settings;
  format!(
    "callers: \"{callers}\"\ndata_centre: {data_centre}\noperators: \"{operators}\"\n\
     peers: \"{peers}\"\nplatform: \"{platform}\"\npoll: 2s\n"
  )
}
