use {
  super::command::block_on,
  crate::{
    caller::{Call, Client},
    clock::Clock,
    generation::Endpoint,
  },
  anyhow::{Context, bail},
  argh::FromArgs,
  hyper::Method,
  serde_json::{Map, Value, json},
  std::{
    env,
    io::{self, Write},
    net::SocketAddr,
  },
};

/// Environment variable that holds the bearer credential.
const CREDENTIAL_VARIABLE: &str = "YUCCARUDDER_CREDENTIAL";

/// send one request as a caller does; the credential is read from YUCCARUDDER_CREDENTIAL
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "ask")]
pub struct Ask {
  /// the request body for a plain service
  #[argh(option, default = "String::new()")]
  body: String,

  /// a host's address for callers; may be given several times
  #[argh(option)]
  host: Vec<SocketAddr>,

  /// the maximum number of tokens to generate
  #[argh(option)]
  max_tokens: Option<u64>,

  /// the HTTP method of a request to a plain service
  #[argh(option, default = "Method::GET")]
  method: Method,

  /// the model to generate with, which is the name of its service
  #[argh(option)]
  model: Option<String>,

  /// an idempotency key, so that the request runs at most once however often it is sent
  #[argh(option)]
  once: Option<String>,

  /// the path of a request to a plain service
  #[argh(option, default = "String::new()")]
  path: String,

  /// the prompt of a generation
  #[argh(option, default = "String::new()")]
  prompt: String,

  /// the plain service to call
  #[argh(option)]
  service: Option<String>,
}

impl Ask {
  /// Calls a plain service and prints the response body.
  async fn call(self, client: Client, service: String) -> anyhow::Result<()> {
    let call = Call {
      body: self.body.into(),
      method: self.method,
      idempotency_key: self.once,
      path: self.path.trim_start_matches('/').into(),
      service,
    };
    let reply = client.call(&call).await?;
    io::stdout().write_all(&reply.body)?;
    println!();
    if !reply.status.is_success() {
      bail!("the service answered {}", reply.status);
    }
    Ok(())
  }

  /// Generates a chat completion and prints its tokens as they arrive.
  async fn generate(self, client: Client, model: String) -> anyhow::Result<()> {
    let mut body = Map::new();
    body.insert("model".into(), model.into());
    body.insert(
      "messages".into(),
      json!([{ "role": "user", "content": self.prompt }]),
    );
    if let Some(max_tokens) = self.max_tokens {
      body.insert("max_tokens".into(), Value::from(max_tokens));
    }
    let mut generation = client.generate(Endpoint::Chat, body).await?;
    let mut stdout = io::stdout();
    while let Some(token) = generation.next().await? {
      stdout.write_all(token.text.as_bytes())?;
      stdout.flush()?;
    }
    println!();
    Ok(())
  }

  pub(super) fn run(self) -> anyhow::Result<()> {
    let credential = env::var(CREDENTIAL_VARIABLE).with_context(|| {
      format!("set {CREDENTIAL_VARIABLE} to the bearer credential of your account")
    })?;
    if self.host.is_empty() {
      bail!("name at least one host with --host");
    }
    let client = Client::new(Clock::system(), self.host.clone(), credential);
    block_on(async {
      match (self.model.clone(), self.service.clone()) {
        (Some(model), None) => self.generate(client, model).await,
        (None, Some(service)) => self.call(client, service).await,
        _ => bail!("name either --model for a generation or --service for a plain call"),
      }
    })
  }
}
