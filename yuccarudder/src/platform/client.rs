use {
  crate::{
    http,
    upstream::{Call, Pool},
  },
  anyhow::{Context, bail},
  hyper::{Request, StatusCode},
  serde::{Deserialize, Serialize},
  std::{net::SocketAddr, time::Duration},
  tokio::time,
};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
const MAX_DOCUMENT_BYTES: u64 = 1 << 20;
const REPLY_MARGIN: Duration = Duration::from_secs(5);

/// Header that carries the revision of a document.
pub const REVISION_HEADER: &str = "revision";

/// A key that the platform publishes.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Key {
  /// The list of hosts.
  Hosts,
  /// The settings tree.
  Settings,
}

impl Key {
  /// Returns the path of the key.
  pub fn path(self) -> &'static str {
    match self {
      Self::Hosts => "/v1/hosts",
      Self::Settings => "/v1/settings",
    }
  }
}

/// The answer to one read.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Document {
  /// Revision of the published document.
  pub revision: u64,
  /// Its text, absent when the revision is the one already seen.
  pub text: Option<String>,
}

/// A reader of the platform's configuration service.
#[derive(Clone)]
pub struct Client {
  address: SocketAddr,
  pool: Pool,
}

impl Client {
  /// Builds a reader.
  pub fn new(address: SocketAddr, pool: Pool) -> Self {
    Self { address, pool }
  }

  /// Reads a key, waiting up to `wait` while its revision is still `seen`.
  ///
  /// # Errors
  ///
  /// Fails when the platform cannot be reached or answers out of protocol.
  pub async fn read(&self, key: Key, seen: u64, wait: Duration) -> anyhow::Result<Document> {
    let uri = format!("{}?after={seen}&wait_ms={}", key.path(), wait.as_millis());
    let call = Call::new(
      self.address,
      CONNECT_TIMEOUT,
      Request::get(uri).body(http::empty())?,
    );
    time::timeout(wait + REPLY_MARGIN, self.fetch(call))
      .await
      .context("the platform did not answer in time")?
  }

  async fn fetch(&self, call: Call) -> anyhow::Result<Document> {
    let response = match self.pool.send(call).await {
      Ok(response) => response,
      Err(error) => bail!("the platform cannot be reached: {error:?}"),
    };
    let revision = response
      .headers()
      .get(REVISION_HEADER)
      .and_then(|value| value.to_str().ok()?.parse().ok())
      .context("the platform's answer has no revision")?;
    let text = match response.status() {
      StatusCode::OK => {
        let bytes = http::collect(response.into_body(), MAX_DOCUMENT_BYTES)
          .await
          .context("the platform's document is too large or broke off")?;
        let text = String::from_utf8(bytes.into()).context("the document is not UTF-8")?;
        Some(text)
      }
      StatusCode::NOT_MODIFIED => None,
      status => bail!("the platform answered {status}"),
    };
    Ok(Document { revision, text })
  }
}
