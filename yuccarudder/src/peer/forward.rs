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
/// Time to wait beyond the deadline, so that the home's own refusal can still arrive.
const DEADLINE_MARGIN: Duration = Duration::from_secs(1);
const PREFIX: &str = "peer";
const RETRY_DELAY: Duration = Duration::from_millis(50);
const ATTEMPTS: u32 = 2;

/// Forwards a call with an idempotency key to its home, the host that issued the key's
/// ticket, and returns the home's response.
///
/// The home recognises repeated requests by their key, so the call is sent again
/// when the connection to the home fails.
///
/// # Errors
///
/// Returns the refusal of the home, or an `unknown` refusal when the home cannot be reached.
pub async fn forward(
  host: &Host,
  tree: &Tree,
  keyed: KeyedRequest,
  deadline: Duration,
) -> Result<Response<Body>, Refusal> {
  let unreachable = || Refusal::unknown(Reason::HomeUnreachable).with_retry_after(RETRY_DELAY);
  let address = peer_address(host, keyed.ticket.home).ok_or_else(unreachable)?;
  let until = host.clock.now() + deadline + DEADLINE_MARGIN;
  for attempt in 1..=ATTEMPTS {
    match time::timeout_at(
      until.into(),
      forward_once(host, tree, address, &keyed, until),
    )
    .await
    {
      Ok(Ok(result)) => return result,
      Ok(Err(error)) => {
        log::warn!(target: PREFIX, "Cannot forward a call to its home host {}: {error:#}.", keyed.ticket.home);
      }
      Err(_) => return Err(Refusal::unknown(Reason::DeadlinePassed)),
    }
    if attempt < ATTEMPTS {
      host.metrics.count_retry(RetryReason::Forward);
      time::sleep(RETRY_DELAY).await;
    }
  }
  Err(unreachable())
}

async fn forward_once(
  host: &Host,
  tree: &Tree,
  address: SocketAddr,
  keyed: &KeyedRequest,
  until: Instant,
) -> anyhow::Result<Result<Response<Body>, Refusal>> {
  let (mut transport, peer) =
    connect(address, host.identity(), Purpose::Forward, &tree.secrets).await?;
  if !is_home(peer, keyed) {
    return Ok(Err(Refusal::unknown(Reason::HomeGone)));
  }
  send_call(&mut transport, tree, keyed).await?;
  match receive(&mut transport).await? {
    Message::Head(head) => {
      let body = StreamBody::new(response_body(transport, until)).boxed_unsync();
      let mut response = Response::new(body);
      *response.headers_mut() = decode_headers(&head.headers)?;
      *response.status_mut() = StatusCode::from_u16(u16::try_from(head.status)?)?;
      Ok(Ok(response))
    }
    Message::Refused(refused) => Ok(Err(decode_refusal(&refused))),
    _ => bail!("the home host sent an unexpected message"),
  }
}

fn response_body(
  transport: Transport,
  until: Instant,
) -> impl Stream<Item = Result<Frame<Bytes>, BodyError>> {
  stream::try_unfold(transport, move |mut transport| async move {
    match time::timeout_at(until.into(), receive(&mut transport)).await?? {
      Message::Data(bytes) => Ok(Some((Frame::data(bytes), transport))),
      Message::End(_) => Ok(None),
      _ => Err(BodyError::from("the home host sent an unexpected message")),
    }
  })
}

fn is_home(peer: Identity, keyed: &KeyedRequest) -> bool {
  peer.host == keyed.ticket.home && peer.incarnation == keyed.ticket.incarnation
}

/// Returns the address at which the home accepts other hosts, if the host list contains the home.
fn peer_address(host: &Host, home: SocketAddr) -> Option<SocketAddr> {
  let view = host.view.borrow();
  let hosts = &view.hosts.accepted.as_ref()?.document;
  Some(hosts.find(home)?.peers)
}

fn decode_refusal(refused: &Refused) -> Refusal {
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
    bail!("the settings contain no secret");
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
