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

const ACCEPT_DELAY: Duration = Duration::from_millis(50);
const CHUNK_BYTES: usize = 64 << 10;
const PREFIX: &str = "peer";

/// Serves the connections of other hosts until the task is dropped.
pub async fn serve(host: Host, listener: TcpListener) {
  loop {
    match listener.accept().await {
      Ok((stream, _)) => {
        let host = host.clone();
        tokio::spawn(async move {
          if let Err(error) = connection(&host, stream).await {
            log::warn!(target: PREFIX, "A connection of another host failed: {error:#}.");
          }
        });
      }
      Err(error) => {
        log::warn!(target: PREFIX, "Cannot accept a connection: {error}.");
        time::sleep(ACCEPT_DELAY).await;
      }
    }
  }
}

async fn connection(host: &Host, stream: TcpStream) -> anyhow::Result<()> {
  let tree = host.tree()?;
  let (transport, other, purpose) = accept(stream, host.identity(), &tree.secrets).await?;
  match purpose {
    Purpose::Control => {
      control::serve(host, transport, other).await;
      Ok(())
    }
    Purpose::Forward => host.forwarded.track_future(forwarded(host, transport)).await,
  }
}

async fn forwarded(host: &Host, mut transport: Transport) -> anyhow::Result<()> {
  let Message::Call(call) = receive(&mut transport).await? else {
    bail!("the other host sent no call");
  };
  let result = match read(host, call, &mut transport).await? {
    Ok(keyed) => plain::run_at_home(host, keyed).await,
    Err(refusal) => Err(refusal),
  };
  match result {
    Ok(response) => answer(&mut transport, response).await,
    Err(refusal) => {
      host.metrics.count_refusal(&refusal);
      send(&mut transport, Message::Refused(refused(&refusal))).await
    }
  }
}

/// Reads a forwarded call with its body.
async fn read(
  host: &Host,
  call: Call,
  transport: &mut Transport,
) -> anyhow::Result<Result<KeyedRequest, Refusal>> {
  let tree = host.tree()?;
  let account = tree.account_named(&call.account);
  let knobs = tree.knobs(tree.service(&call.service), None, account);
  if call.body_bytes > knobs.body_bytes {
    return Ok(Err(Refusal::unknown(Reason::BodyTooLarge)));
  }
  let reserved = match host.memory.reserve(call.body_bytes) {
    Ok(reserved) => reserved,
    Err(refusal) => return Ok(Err(Refusal::new(Execution::Unknown, refusal.reason))),
  };
  let bytes = read_body(transport, usize::try_from(call.body_bytes)?).await?;
  let ticket = Ticket::verify(&tree.secrets, &call.ticket).context("the ticket is not ours")?;
  Ok(Ok(KeyedRequest {
    body: BufferedBody { bytes, reserved },
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

async fn read_body(transport: &mut Transport, length: usize) -> anyhow::Result<Bytes> {
  let mut body = BytesMut::new();
  loop {
    match receive(transport).await? {
      Message::Data(bytes) => body.extend_from_slice(&bytes),
      Message::End(_) if body.len() == length => return Ok(body.freeze()),
      _ => bail!("the other host sent an unexpected message"),
    }
    ensure!(
      body.len() <= length,
      "the other host sent more than it announced"
    );
  }
}

async fn answer(transport: &mut Transport, response: Response<Body>) -> anyhow::Result<()> {
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

fn refused(refusal: &Refusal) -> Refused {
  let ms = |after: Duration| u64::try_from(after.as_millis()).unwrap_or(u64::MAX);
  Refused {
    detail: refusal.detail.clone(),
    ran: refusal.execution.name().into(),
    reason: refusal.reason.name().into(),
    retry_after_ms: refusal.retry_after.map(ms),
  }
}
