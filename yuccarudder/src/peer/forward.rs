use {
  super::{
    Identity, Purpose, Transport, connect,
    frame::{Call, End, Message, Refused, decode_headers, encode_headers},
    handshake::{receive, send},
  },
  crate::{
    host::Host,
    http::{Body, BodyError},
    metrics::RetryReason,
    plain::KeyedRequest,
    refusal::{Execution, Reason, Refusal},
    tree::Tree,
  },
  anyhow::bail,
  bytes::Bytes,
  futures::{Stream, stream},
  http_body_util::{BodyExt, StreamBody},
  hyper::{Response, StatusCode, body::Frame},
  std::{
    net::SocketAddr,
    time::{Duration, Instant},
  },
  tokio::time,
};

const CHUNK_BYTES: usize = 64 << 10;
const DEADLINE_MARGIN: Duration = Duration::from_secs(1);
const PREFIX: &str = "peer";
const RETRY_DELAY: Duration = Duration::from_millis(50);
const TRIES: u32 = 2;

/// Sends a call with a key to its home and returns the home's answer.
///
/// The home tells repeated requests apart, so a broken connection to it is
/// tried again.
///
/// # Errors
///
/// Refuses as the home does, or with `unknown` when the home cannot be asked.
pub async fn forward(
  host: &Host,
  tree: &Tree,
  keyed: KeyedRequest,
  deadline: Duration,
) -> Result<Response<Body>, Refusal> {
  let unreachable = || Refusal::unknown(Reason::HomeUnreachable).with_retry_after(RETRY_DELAY);
  let peers = peers(host, keyed.ticket.home).ok_or_else(unreachable)?;
  let until = host.clock.now() + deadline + DEADLINE_MARGIN;
  for attempt in 1..=TRIES {
    match time::timeout_at(until.into(), ask(host, tree, peers, &keyed, until)).await {
      Ok(Ok(result)) => return result,
      Ok(Err(error)) => {
        log::warn!(target: PREFIX, "Cannot forward to {}: {error:#}.", keyed.ticket.home);
      }
      Err(_) => return Err(Refusal::unknown(Reason::DeadlinePassed)),
    }
    if attempt < TRIES {
      host.metrics.count_retry(RetryReason::Forward);
      time::sleep(RETRY_DELAY).await;
    }
  }
  Err(unreachable())
}

async fn ask(
  host: &Host,
  tree: &Tree,
  peers: SocketAddr,
  keyed: &KeyedRequest,
  until: Instant,
) -> anyhow::Result<Result<Response<Body>, Refusal>> {
  let (mut transport, other) =
    connect(peers, host.identity(), Purpose::Forward, &tree.secrets).await?;
  if !is_home(other, keyed) {
    return Ok(Err(Refusal::unknown(Reason::HomeGone)));
  }
  send_call(&mut transport, tree, keyed).await?;
  match receive(&mut transport).await? {
    Message::Head(head) => {
      let body = StreamBody::new(body(transport, until)).boxed_unsync();
      let mut response = Response::new(body);
      *response.headers_mut() = decode_headers(&head.headers)?;
      *response.status_mut() = StatusCode::from_u16(u16::try_from(head.status)?)?;
      Ok(Ok(response))
    }
    Message::Refused(refused) => Ok(Err(refusal(&refused))),
    _ => bail!("the home sent an unexpected message"),
  }
}

fn body(
  transport: Transport,
  until: Instant,
) -> impl Stream<Item = Result<Frame<Bytes>, BodyError>> {
  stream::try_unfold(transport, move |mut transport| async move {
    match time::timeout_at(until.into(), receive(&mut transport)).await?? {
      Message::Data(bytes) => Ok(Some((Frame::data(bytes), transport))),
      Message::End(_) => Ok(None),
      _ => Err(BodyError::from("the home sent an unexpected message")),
    }
  })
}

fn is_home(other: Identity, keyed: &KeyedRequest) -> bool {
  other.host == keyed.ticket.home && other.incarnation == keyed.ticket.incarnation
}

fn peers(host: &Host, home: SocketAddr) -> Option<SocketAddr> {
  let view = host.view.borrow();
  let hosts = &view.hosts.accepted.as_ref()?.document;
  Some(hosts.find(home)?.peers)
}

fn refusal(refused: &Refused) -> Refusal {
  let reason = Reason::from_name(&refused.reason).unwrap_or(Reason::TargetRefused);
  Refusal {
    detail: refused.detail.clone(),
    execution: Execution::from_name(&refused.ran),
    reason,
    retry_after: refused.retry_after_ms.map(Duration::from_millis),
  }
}

async fn send_call(
  transport: &mut Transport,
  tree: &Tree,
  keyed: &KeyedRequest,
) -> anyhow::Result<()> {
  let Some(ticket) = keyed.ticket.sign(&tree.secrets) else {
    bail!("the settings hold no key");
  };
  let call = Call {
    account: keyed.key.account.to_string(),
    body_bytes: keyed.body.bytes.len() as u64,
    headers: encode_headers(&keyed.headers),
    method: keyed.method.to_string(),
    nonce: keyed.key.nonce.to_string(),
    service: keyed.service.clone(),
    ticket,
    uri: keyed.uri.to_string(),
  };
  send(transport, Message::Call(call)).await?;
  for start in (0..keyed.body.bytes.len()).step_by(CHUNK_BYTES) {
    let end = keyed.body.bytes.len().min(start + CHUNK_BYTES);
    send(transport, Message::Data(keyed.body.bytes.slice(start..end))).await?;
  }
  send(transport, Message::End(End {})).await
}
