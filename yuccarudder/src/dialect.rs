//! How a platform writes what the gateway needs to know of requests and answers.
//!
//! An adapter fills a `Dialect` with functions that only translate; the gateway decides.

use {
  crate::{relocation, routing::Catalog},
  futures::future::BoxFuture,
  hyper::{HeaderMap, StatusCode},
  std::{fmt, net::SocketAddr, sync::Arc, time::Duration},
};

/// What a caller says of its request.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Ask {
  /// The credential that it presents.
  pub credential: Option<String>,
  /// How long it waits.
  pub deadline: Option<Duration>,
  /// The last event that it has seen of an earlier answer.
  pub last_event: Option<u64>,
  /// Its estimate of the tokens that will be generated.
  pub length_hint: Option<u64>,
  /// Most tokens that may be generated.
  pub max_tokens: u64,
  /// Tokens of the prompt.
  pub prompt_tokens: u64,
  /// Names this attempt of the caller.
  pub request_id: Option<String>,
}

/// Where a run goes on.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Resume {
  /// The copy of its memory, as the engines name it.
  pub copy: Option<String>,
  /// The last event that was taken over from the earlier run.
  pub last_event: Option<u64>,
}

/// What the gateway adds to a request for a target.
#[derive(Clone, Debug)]
pub struct Envelope<'a> {
  /// The name of the client account.
  pub account: Option<&'a str>,
  /// What is left of the time that the caller waits.
  pub deadline: Duration,
  /// The process that is to take the request; any other rejects it.
  pub target: &'a str,
  /// Where the run goes on, if it is not a new one.
  pub resume: Option<&'a Resume>,
  /// The rank at the engine, 0 first.
  pub urgency: u8,
}

/// What the head of a target's answer says.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Verdict {
  /// The target has not run the request and will not.
  pub not_run: bool,
  /// The request that the answer belongs to.
  pub request_id: Option<String>,
  /// Whether the answer carries the target's signature.
  pub signed: bool,
}

/// What an engine reports of itself.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Report {
  /// When it is gone, if it knows.
  pub leaves_in: Option<Duration>,
}

/// A call to an engine.
pub type Relocate = Arc<
  dyn Fn(
      relocation::CopyRequest,
    ) -> BoxFuture<'static, Result<relocation::Copied, relocation::Failure>>
    + Send
    + Sync,
>;
/// Asks an engine what it reports of itself; `None` when it gives no answer.
pub type Inspect = Arc<dyn Fn(SocketAddr) -> BoxFuture<'static, Option<Report>> + Send + Sync>;
/// Frees the copy that an engine holds of a run.
pub type Release = Arc<dyn Fn(SocketAddr, String) -> BoxFuture<'static, ()> + Send + Sync>;

/// The translations of one platform.
#[derive(Clone)]
pub struct Dialect {
  /// Asks an engine for its report.
  pub inspect: Inspect,
  /// Reads a published catalog.
  pub read_catalog: fn(&[u8]) -> anyhow::Result<Catalog>,
  /// Reads the headers of a request.
  pub read_request: fn(&HeaderMap) -> Ask,
  /// Reads the head of an answer.
  pub read_response: fn(StatusCode, &HeaderMap) -> Verdict,
  /// Frees the copy of a run.
  pub release: Release,
  /// Copies a run from one engine to another.
  pub relocate: Relocate,
  /// Sets the headers of a request for a target.
  pub write_request: fn(&mut HeaderMap, &Envelope<'_>),
}

impl fmt::Debug for Dialect {
  fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
    f.write_str("Dialect")
  }
}
