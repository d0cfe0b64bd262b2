//! Whole sessions of callers, byte for byte but for ids, times and addresses.
//!
//! HTTP/1.0 requests get close-delimited bodies, so that the bytes do not
//! depend on how tokens fall into chunks. `INSTA_UPDATE=always` rewrites the files.

use {
  rig::{
    engine,
    fleet::{CREDENTIAL, Fleet, MODEL, Options, SERVICE},
  },
  std::net::SocketAddr,
  tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time,
  },
  yuccarudder::platform::Key,
};

const MASKS: [(&str, &str); 8] = [
  (r"content-length: [0-9]+", "content-length: LENGTH"),
  (r"127\.\d+\.\d+\.\d+:\d+", "ADDRESS"),
  (r"k1\.[\w-]+\.[\w-]+", "SEALED"),
  (r"[0-9a-f]{32}", "GENERATION"),
  (r"[0-9a-f]{6}:(\d+) ", "TOKEN:$1 "),
  (r#""created":\d{10}"#, r#""created":TIME"#),
  (r"date: [^\r\n]*", "date: TIME"),
  (r"\r", ""),
];

async fn exchange(host: SocketAddr, request: &str) -> String {
  let mut stream = TcpStream::connect(host).await.unwrap();
  stream.write_all(request.as_bytes()).await.unwrap();
  let mut response = String::new();
  stream.read_to_string(&mut response).await.unwrap();
  response
}

async fn fleet() -> Fleet {
  let options = Options {
    engines: 1,
    hosts: 1,
    plain_servers: 1,
    ..Options::default()
  };
  Fleet::start(options).await.unwrap()
}

fn get(path: &str) -> String {
  format!("GET {path} HTTP/1.0\r\nauthorization: Bearer {CREDENTIAL}\r\n\r\n")
}

fn post(path: &str, headers: &str, body: &str) -> String {
  let length = body.len();
  format!(
    "POST {path} HTTP/1.0\r\nauthorization: Bearer {CREDENTIAL}\r\n{headers}content-length: {length}\r\n\r\n{body}"
  )
}

/// Names a session: what is done to the fleet first, and what the caller sends.
macro_rules! session {
  ($name:ident, $prepare:expr, [$($request:expr),* $(,)?]) => {
    #[tokio::test(flavor = "multi_thread")]
    async fn $name() {
      let fleet = fleet().await;
      let prepare: fn(&Fleet) = $prepare;
      prepare(&fleet);
      let host = fleet.hosts[0].settings.callers;
      let mut session = String::new();
      for request in [$($request),*] {
        let response = exchange(host, &request).await;
        session.push_str(&format!("{request}\n-----\n{response}\n=====\n"));
      }
      insta::with_settings!({ filters => MASKS }, {
        insta::assert_snapshot!(stringify!($name), session);
      });
    }
  };
}

fn chat(fields: &str) -> String {
  let messages = r#"[{"role":"user","content":"Plan a week."}]"#;
  let body = format!(r#"{{"model":"{MODEL}","messages":{messages},"rig_tokens":3{fields}}}"#);
  post("/v1/chat/completions", "", &body)
}

fn text(fields: &str) -> String {
  let body = format!(r#"{{"model":"{MODEL}","prompt":"Plan a week.","rig_tokens":3{fields}}}"#);
  post("/v1/completions", "", &body)
}

fn bookings(headers: &str) -> String {
  post(
    &format!("/v1/services/{SERVICE}/bookings"),
    headers,
    "seat 4",
  )
}

session!(chat_streamed, |_| {}, [chat(r#","stream":true"#)]);
session!(
  chat_streamed_with_usage,
  |_| {},
  [chat(
    r#","stream":true,"stream_options":{"include_usage":true}"#
  )]
);
session!(chat_whole, |_| {}, [chat("")]);
session!(entries, |_| {}, [get("/v1/entries")]);
session!(
  models,
  |_| {},
  [get("/v1/models"), get(&format!("/v1/models/{MODEL}"))]
);
session!(
  plain_calls,
  |_| {},
  [
    get(&format!("/v1/services/{SERVICE}/slots")),
    bookings(""),
    get(&format!("/v1/services/{SERVICE}/nowhere")),
  ]
);
session!(
  refused_requests,
  |_| {},
  [
    "GET /v1/models HTTP/1.0\r\n\r\n".to_owned(),
    get("/v2"),
    get("/v1/models/none"),
    get("/v1/generations/none"),
    get("/v1/services/none/slots"),
    post("/v1/chat/completions", "", "{"),
    chat(r#","n":2"#),
    bookings("idempotency-key: a\r\n"),
    bookings("yuccarudder-ticket: a\r\n"),
    bookings("idempotency-key: a\r\nyuccarudder-ticket: a\r\n"),
  ]
);
session!(
  stream_of_a_lost_generation,
  |fleet| {
    fleet.engines[0].server.set_faults(engine::Faults {
      cut_after: 2,
      forget: true,
      ..engine::Faults::default()
    });
  },
  [chat(r#","stream":true"#)]
);
session!(text_streamed, |_| {}, [text(r#","stream":true"#)]);
session!(text_whole, |_| {}, [text("")]);

#[tokio::test(flavor = "multi_thread")]
async fn everything_out_of_service() {
  let fleet = fleet().await;
  let tree = fleet.tree(&["east-dist", "north-dist", "xiangshan"]);
  fleet.platform.server.publish(Key::Settings, tree);
  let host = fleet.hosts[0].host().unwrap().clone();
  while host.view.borrow().settings.newest_seen < 2 || host.targets.lock().rows()[0].takes_work {
    time::sleep(time::Duration::from_millis(5)).await;
  }
  let mut session = String::new();
  for request in [chat(""), bookings("")] {
    let response = exchange(host.settings.callers, &request).await;
    session.push_str(&format!("{request}\n-----\n{response}\n=====\n"));
  }
  insta::with_settings!({ filters => MASKS }, {
    insta::assert_snapshot!("everything_out_of_service", session);
  });
}
