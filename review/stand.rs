//! Stand-ins of the platform, servers and clients, and the cases that use them.

mod cases;
mod net;
mod server;
mod store;
mod world;

use std::env;

fn main() {
  let arguments: Vec<String> = env::args().skip(1).collect();
  let words: Vec<&str> = arguments.iter().map(String::as_str).collect();
  match words[..] {
    ["server", id, address, ref rest @ ..] => {
      let value = |name: &str| {
        rest.iter().find_map(|word| word.strip_prefix(&format!("{name}="))).map(str::to_owned)
      };
      let number = |name: &str, default: f64| {
        value(name).and_then(|value| value.parse().ok()).unwrap_or(default)
      };
      server::run(server::Options {
        id: id.into(),
        address: address.parse().unwrap(),
        token_ms: number("token_ms", 10.0),
        work_ms: number("work_ms", 30.0) as u64,
        unframed: rest.contains(&"unframed"),
        kv_bytes_per_token: 163_840.0,
        kv_mbps: number("kv_mbps", 24_000.0),
        zone: value("zone").unwrap_or_default(),
      });
    }
    ["case", name, record] => {
      let trouble = env::var("TROUBLE").as_deref() != Ok("0");
      // A stand-in that failed means that the case couldn't run; its processes have ended by then.
      let status = std::panic::catch_unwind(|| cases::run(name, record, trouble));
      std::process::exit(status.unwrap_or(2));
    }
    _ => {
      eprintln!("stand case NAME RECORD | stand server ID ADDRESS [OPTIONS]");
      std::process::exit(2);
    }
  }
}
