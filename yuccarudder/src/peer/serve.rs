use {
  super::{
    Purpose, Transport, accept, control,
    frame::{Call, End, Head, Message, Refused, decode_headers, encode_headers},
    handshake::{receive, send},
  },
  crate::{
    host::Host,
    http::Body,
    limit::BufferedBody,
    once::Key,
    plain::{self, KeyedRequest},
    refusal::{Execution, Reason, Refusal},
    ticket::Ticket,
  },
  anyhow::{Context, bail, ensure},
  bytes::{Bytes, BytesMut},
  http_body_util::BodyExt,
  hyper::Response,
  std::time::Duration,
  tokio::{
    net::{TcpListener, TcpStream},
    time,
  },
};

const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
const CHUNK_BYTES: usize = 64 << 10;
const PREFIX: &str = "peer";

/// Accepts and serves connections from other hosts until the future is dropped.
pub async fn serve(host: Host, listener: TcpListener) {
  loop {
    match listener.accept().await {
      Ok((stream, _)) => {
        let host = host.clone();
        tokio::spawn(async move {
          if let Err(error) = serve_connection(&host, stream).await {
            log::warn!(target: PREFIX, "A connection from another host failed: {error:#}.");
          }
        });
      }
      Err(error) => {
        log::warn!(target: PREFIX, "Cannot accept a connection from another host: {error}.");
        time::sleep(ACCEPT_RETRY_DELAY).await;
      }
    }
  }
}

async fn serve_connection(host: &Host, stream: TcpStream) -> anyhow::Result<()> {
  let tree = host.tree()?;
  let (transport, peer, purpose) = accept(stream, host.identity(), &tree.secrets).await?;
  match purpose {
    Purpose::Control => {
      control::serve(host, transport, peer).await;
      Ok(())
    }
    Purpose::Forward => host.forwarded_calls.track_future(serve_call(host, transport)).await,
  }
}

/// Runs one forwarded call and sends the response.
async fn serve_call(host: &Host, mut transport: Transport) -> anyhow::Result<()> {
  let Message::Call(call) = receive(&mut transport).await? else {
    bail!("the other host sent another message instead of a call");
  };
  let result = match receive_call(host, call, &mut transport).await? {
    Ok(keyed) => plain::run_at_home(host, keyed).await,
    Err(refusal) => Err(refusal),
  };
  match result {
    Ok(response) => send_response(&mut transport, response).await,
    Err(refusal) => {
      host.metrics.count_refusal(&refusal);
      send(&mut transport, Message::Refused(encode_refusal(&refusal))).await
    }
  }
}

/// Receives the body of a forwarded call and rebuilds the call.
async fn receive_call(
  host: &Host,
  call: Call,
  transport: &mut Transport,
) -> anyhow::Result<Result<KeyedRequest, Refusal>> {
  let tree = host.tree()?;
  let account = tree.account_by_name(&call.account);
  let settings = tree.settings(tree.service(&call.service), None, account);
  if call.body_bytes > settings.body_bytes {
    return Ok(Err(Refusal::unknown(Reason::BodyTooLarge)));
  }
  let reservation = match host.memory.reserve(call.body_bytes) {
    Ok(reservation) => reservation,
    Err(refusal) => return Ok(Err(Refusal::new(Execution::Unknown, refusal.reason))),
  };
  let bytes = receive_body(transport, usize::try_from(call.body_bytes)?).await?;
  let ticket = Ticket::verify(&tree.secrets, &call.ticket)
    .context("the ticket is not signed with a known secret")?;
  Ok(Ok(KeyedRequest {
    body: BufferedBody { bytes, reservation },
    headers: decode_headers(&call.headers)?,
    key: Key {
      account: call.account.into(),
      nonce: call.nonce.into(),
      ticket_id: ticket.id,
    },
    method: call.method.parse()?,
    service: call.service,
    ticket,
    uri: call.uri.parse()?,
  }))
}

async fn receive_body(transport: &mut Transport, length: usize) -> anyhow::Result<Bytes> {
  let mut body = BytesMut::new();
  loop {
    match receive(transport).await? {
      Message::Data(bytes) => body.extend_from_slice(&bytes),
      Message::End(_) if body.len() == length => return Ok(body.freeze()),
      _ => bail!("the other host sent an unexpected message"),
    }
    ensure!(
      body.len() <= length,
      "the other host sent a longer body than it announced"
    );
  }
}

async fn send_response(transport: &mut Transport, response: Response<Body>) -> anyhow::Result<()> {
  let (head, mut body) = response.into_parts();
  let message = Message::Head(Head {
    headers: encode_headers(&head.headers),
    status: head.status.as_u16().into(),
  });
  send(transport, message).await?;
  while let Some(frame) = body.frame().await {
    let frame = frame.map_err(|error| anyhow::anyhow!("{error}"))?;
    if let Ok(data) = frame.into_data() {
      send_data(transport, data).await?;
    }
  }
  send(transport, Message::End(End {})).await
}

async fn send_data(transport: &mut Transport, mut data: Bytes) -> anyhow::Result<()> {
  while !data.is_empty() {
    let chunk = data.split_to(data.len().min(CHUNK_BYTES));
    send(transport, Message::Data(chunk)).await?;
  }
  Ok(())
}

fn encode_refusal(refusal: &Refusal) -> Refused {
  let ms = |after: Duration| u64::try_from(after.as_millis()).unwrap_or(u64::MAX);
  Refused {
    detail: refusal.detail.clone(),
    ran: refusal.execution.name().into(),
    reason: refusal.reason.name().into(),
    retry_after_ms: refusal.retry_after.map(ms),
  }
}
