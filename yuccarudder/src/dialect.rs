//! The interface between the gateway and the wire formats of a platform.
//!
//! The adapter of a platform fills a `Dialect` with functions that only translate between its
//! formats and these types; all decisions are made by the gateway.

use {
  crate::{relocation, routing::Catalog},
  futures::future::BoxFuture,
  hyper::{HeaderMap, StatusCode},
  std::{fmt, net::SocketAddr, sync::Arc, time::Duration},
};

/// What a host did for a request that it passes on to another host.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Forwarded {
  /// Whether a third host counts the request for the retry budget of its service.
  pub is_counted: bool,
  /// Number of targets that may have run the request.
  pub possible_runs: u32,
  /// Time since the caller's first attempt, estimated from its deadline.
  pub since_first_attempt: Duration,
}

/// Metadata that a host sets on a request that it passes on to another host.
#[derive(Clone, Debug)]
pub struct HandoverMetadata<'a> {
  /// What it did for the request.
  pub forwarded: Forwarded,
  /// ID of the last event that the caller has received, and the attempt that brought the first one;
  /// `None` if the request has no events yet or its caller sent them.
  pub resume: Option<(u64, &'a str)>,
  /// Remaining time that the caller waits for the response.
  pub timeout: Duration,
  /// Fingerprints of the targets that may still run the request, as their answers were lost.
  pub unstopped_at: &'a [u64],
}

/// Metadata that a caller sends with its request.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RequestMetadata {
  /// The credential that authenticates the caller.
  pub credential: Option<String>,
  /// How long the caller waits for the response.
  pub timeout: Option<Duration>,
  /// ID of the last event that the caller received of an earlier response.
  pub last_event_id: Option<u64>,
  /// What another host did for the request before it passed it on to this one.
  pub forwarded: Option<Forwarded>,
  /// The caller's estimate of the number of tokens that will be generated.
  pub length_hint: Option<u64>,
  /// Maximum number of tokens to generate.
  pub max_tokens: u64,
  /// IDs of the parts of the prompt, in order. Requests share parts; the last one belongs to this
  /// request or its session.
  pub prompt_parts: Vec<u64>,
  /// Numbers of tokens of the parts of the prompt, in the same order.
  pub prompt_part_tokens: Vec<u64>,
  /// Number of tokens in the prompt.
  pub prompt_tokens: u64,
  /// Identifies this attempt of the caller.
  pub request_id: Option<String>,
  /// ID of the attempt that brought the first event of the stream that this request continues.
  pub resumes: Option<String>,
  /// Fingerprints of the targets that may still run the request for the host that passed it on.
  pub unstopped_at: Vec<u64>,
}

impl RequestMetadata {
  /// Returns the IDs of the prompt parts that other requests may have as well.
  pub fn shared_parts(&self) -> &[u64] {
    self.prompt_parts.split_last().map_or(&[], |(_, shared)| shared)
  }
}

/// The point from which a target continues a stream that began on another target.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Resume {
  /// Where the target finds the copied KV cache, as `ADDRESS/HANDLE`; `None` if there is no copy.
  pub cache_location: Option<String>,
  /// ID of the last event that was relayed from the earlier run.
  pub last_event_id: Option<u64>,
}

/// Metadata that the gateway sets on a request before it forwards it to a target.
#[derive(Clone, Debug)]
pub struct ForwardingMetadata<'a> {
  /// The name of the client account, if the caller was authenticated.
  pub account: Option<&'a str>,
  /// Remaining time that the caller waits for the response.
  pub timeout: Duration,
  /// The target process that is to run the request; any other rejects it.
  pub target: &'a str,
  /// Where the stream continues; `None` if the request starts from the beginning.
  pub resume: Option<&'a Resume>,
  /// Scheduling priority at the engine, 0 highest.
  pub priority: u8,
}

/// Metadata in the head of a target's response.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ResponseMetadata {
  /// Rejections per second, for want of room, beyond which the target falls over, if it names them.
  pub rejection_tolerance: Option<f64>,
  /// Whether the target states that it is leaving service.
  pub leaving: bool,
  /// Whether the target guarantees that it has not run the request and will not.
  pub not_run: bool,
  /// The request that the response belongs to.
  pub request_id: Option<String>,
  /// Requests per second that the target takes from all hosts together, if it names a limit.
  pub request_limit: Option<f64>,
  /// How long the target wants no further request from this host; only in a response by which it
  /// turns a request away.
  pub retry_after: Option<Duration>,
  /// Whether the response carries the target's signature.
  pub signed: bool,
}

/// The status that an engine reports of itself.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Report {
  /// Time until the engine process ends; `None` when no shutdown is planned.
  pub shutdown_in: Option<Duration>,
  /// When its process started, in milliseconds since the Unix epoch, if it tells.
  pub started_ms: Option<u64>,
  /// The requests that it runs, each with the number of events that it has produced for it; `None` if it
  /// does not list them.
  pub runs: Option<Vec<(String, Option<u64>)>>,
}

/// Function that copies the KV cache of a run from one engine to another.
pub type CopyFn = Arc<
  dyn Fn(
      relocation::CopyRequest,
    ) -> BoxFuture<'static, Result<relocation::Copied, relocation::Failure>>
    + Send
    + Sync,
>;
/// Function that asks at an address and a path whether a target, given by its ID, serves there; returns
/// `None` when there is no response, or one that does not tell.
pub type IdentifyFn =
  Arc<dyn Fn(SocketAddr, String, Arc<str>) -> BoxFuture<'static, Option<bool>> + Send + Sync>;
/// Function that asks an engine for its status; returns `None` when there is no response.
pub type InspectFn = Arc<dyn Fn(SocketAddr) -> BoxFuture<'static, Option<Report>> + Send + Sync>;
/// Function that asks a target at a path whether it is healthy; returns whether there is any response.
pub type PingFn = Arc<dyn Fn(SocketAddr, String) -> BoxFuture<'static, bool> + Send + Sync>;
/// Function that frees the copy of a run at an engine, given by address and handle.
pub type ReleaseFn = Arc<dyn Fn(SocketAddr, String) -> BoxFuture<'static, ()> + Send + Sync>;

/// The translation functions of one platform.
#[derive(Clone)]
pub struct Dialect {
  /// Asks whether a target serves at its address.
  pub identify: IdentifyFn,
  /// Asks an engine for its status.
  pub inspect: InspectFn,
  /// Asks a target whether it is healthy.
  pub ping: PingFn,
  /// Parses a published catalog.
  pub read_catalog: fn(&[u8]) -> anyhow::Result<Catalog>,
  /// Extracts the metadata from the headers of a request.
  pub read_request: fn(&HeaderMap) -> RequestMetadata,
  /// Extracts the metadata from the head of a response.
  pub read_response: fn(StatusCode, &HeaderMap) -> ResponseMetadata,
  /// Frees the copy of a run at an engine.
  pub release: ReleaseFn,
  /// Copies the KV cache of a run from one engine to another.
  pub copy: CopyFn,
  /// Sets the headers of a request that is passed on to another host.
  pub write_handover: fn(&mut HeaderMap, &HandoverMetadata<'_>),
  /// Sets the headers of a request that is forwarded to a target.
  pub write_request: fn(&mut HeaderMap, &ForwardingMetadata<'_>),
}

impl fmt::Debug for Dialect {
  fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
    f.write_str("Dialect")
  }
}
