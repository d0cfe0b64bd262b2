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
/// Time that the platform may take beyond the wait that a read asks for.
const RESPONSE_MARGIN: Duration = Duration::from_secs(5);

/// Response header that carries the revision of the document.
pub const REVISION_HEADER: &str = "revision";

/// A key of the configuration service, under which a document is published.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Key {
  /// The list of hosts.
  Hosts,
  /// The settings tree.
  Settings,
}

impl Key {
  /// Returns the URL path of the key's document.
  pub fn path(self) -> &'static str {
    match self {
      Self::Hosts => "/v1/hosts",
      Self::Settings => "/v1/settings",
    }
  }
}

/// The result of a read.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Document {
  /// Revision of the published document.
  pub revision: u64,
  /// Text of the document; `None` if its revision is the one that the reader has seen.
  pub text: Option<String>,
}

/// A client of the platform's configuration service.
#[derive(Clone)]
pub struct Client {
  address: SocketAddr,
  pool: Pool,
}

impl Client {
  /// Creates a client of the service at `address`.
  pub fn new(address: SocketAddr, pool: Pool) -> Self {
    Self { address, pool }
  }

  /// Reads a document by long polling: waits up to `wait` for a revision other than `seen`.
  ///
  /// # Errors
  ///
  /// Fails if the platform cannot be reached, does not respond in time or sends a malformed
  /// response.
  pub async fn read(&self, key: Key, seen: u64, wait: Duration) -> anyhow::Result<Document> {
    let uri = format!("{}?after={seen}&wait_ms={}", key.path(), wait.as_millis());
    let call = Call::new(
      self.address,
      CONNECT_TIMEOUT,
      Request::get(uri).body(http::empty())?,
    );
    time::timeout(wait + RESPONSE_MARGIN, self.fetch(call))
      .await
      .context("the platform did not respond in time")?
  }

  /// Sends a read and parses its response.
  async fn fetch(&self, call: Call) -> anyhow::Result<Document> {
    let call = call.with_max_body_bytes(MAX_DOCUMENT_BYTES);
    let response = match self.pool.send(call).await {
      Ok(response) => response,
      Err(error) => bail!("the platform cannot be reached: {error:?}"),
    };
    let revision = response
      .headers()
      .get(REVISION_HEADER)
      .and_then(|value| value.to_str().ok()?.parse().ok())
      .context("the platform's response has no valid revision header")?;
    let text = match response.status() {
      StatusCode::OK => {
        let bytes = http::collect(response.into_body(), MAX_DOCUMENT_BYTES)
          .await
          .context("the platform's document is too large or the connection broke")?;
        let text =
          String::from_utf8(bytes.into()).context("the platform's document is not UTF-8")?;
        Some(text)
      }
      StatusCode::NOT_MODIFIED => None,
      status => bail!("the platform responded with status {status}"),
    };
    Ok(Document { revision, text })
  }
}
