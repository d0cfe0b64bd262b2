use {
  super::frame::{Frame, Hello, Message, Proof},
  crate::{
    ticket::{self, Domain},
    tree::Secret,
  },
  anyhow::{Context, bail, ensure},
  bytes::Bytes,
  futures::{SinkExt, StreamExt},
  hmac::Mac,
  std::{net::SocketAddr, time::Duration},
  tokio::{net::TcpStream, time},
  tokio_util::codec::{Framed, LengthDelimitedCodec},
};

/// Room for a document of 1 MiB, escaped as JSON.
const MAX_FRAME_BYTES: usize = 8 << 20;
const NONCE_BYTES: usize = 32;
const TIMEOUT: Duration = Duration::from_secs(2);
const VERSION: u32 = 1;
const VERSION_MIN: u32 = 1;

/// A framed connection between hosts.
pub type Transport = Framed<TcpStream, LengthDelimitedCodec>;

/// What a connection is for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Purpose {
  /// Remote calls.
  Control,
  /// One forwarded call.
  Forward,
}

impl Purpose {
  fn from_wire(wire: u32) -> Option<Self> {
    match wire {
      1 => Some(Self::Control),
      2 => Some(Self::Forward),
      _ => None,
    }
  }

  fn to_wire(self) -> u32 {
    match self {
      Self::Control => 1,
      Self::Forward => 2,
    }
  }
}

/// Names a host and its process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Identity {
  /// Address for callers.
  pub host: SocketAddr,
  /// The incarnation of the process.
  pub incarnation: u64,
}

/// Accepts a connection from another host.
///
/// # Errors
///
/// Fails when the other side does not prove a shared key or speaks no common version.
pub async fn accept(
  stream: TcpStream,
  this: Identity,
  secrets: &[Secret],
) -> anyhow::Result<(Transport, Identity, Purpose)> {
  let mut transport = frame(stream)?;
  let shaken = async {
    let theirs = hello(receive(&mut transport).await?)?;
    let purpose = Purpose::from_wire(theirs.purpose).context("an unknown purpose")?;
    let secret = secrets
      .iter()
      .find(|secret| secret.id == theirs.key)
      .context("the other host uses an unknown key")?;
    let ours = introduce(this, purpose, secret);
    send(&mut transport, Message::Hello(ours.clone())).await?;
    check_version(&theirs)?;
    verify(
      secret,
      b"connect",
      &theirs,
      &ours,
      receive(&mut transport).await?,
    )?;
    send(&mut transport, prove(secret, b"accept", &theirs, &ours)).await?;
    Ok((identity(&theirs)?, purpose))
  };
  let (other, purpose) = within(shaken).await?;
  Ok((transport, other, purpose))
}

/// Connects to another host.
///
/// # Errors
///
/// Fails when it cannot be reached, does not prove a shared key or speaks no common version.
pub async fn connect(
  address: SocketAddr,
  this: Identity,
  purpose: Purpose,
  secrets: &[Secret],
) -> anyhow::Result<(Transport, Identity)> {
  let secret = secrets.first().context("the settings hold no key")?;
  let shaken = async {
    let mut transport = frame(TcpStream::connect(address).await?)?;
    let ours = introduce(this, purpose, secret);
    send(&mut transport, Message::Hello(ours.clone())).await?;
    let theirs = hello(receive(&mut transport).await?)?;
    check_version(&theirs)?;
    send(&mut transport, prove(secret, b"connect", &ours, &theirs)).await?;
    verify(
      secret,
      b"accept",
      &ours,
      &theirs,
      receive(&mut transport).await?,
    )?;
    let other = identity(&theirs)?;
    Ok((transport, other))
  };
  within(shaken).await
}

fn check_version(theirs: &Hello) -> anyhow::Result<()> {
  ensure!(
    theirs.version >= VERSION_MIN && theirs.version_min <= VERSION,
    "the other host speaks versions {} to {}, this one {VERSION_MIN} to {VERSION}",
    theirs.version_min,
    theirs.version
  );
  Ok(())
}

fn code(secret: &Secret, role: &[u8], connecting: &Hello, accepting: &Hello) -> impl Mac {
  let mut code = ticket::mac(secret, Domain::Peer, role);
  for hello in [connecting, accepting] {
    code.update(&prost::Message::encode_length_delimited_to_vec(hello));
  }
  code
}

fn frame(stream: TcpStream) -> anyhow::Result<Transport> {
  stream.set_nodelay(true)?;
  let mut codec = LengthDelimitedCodec::new();
  codec.set_max_frame_length(MAX_FRAME_BYTES);
  Ok(Framed::new(stream, codec))
}

fn hello(message: Message) -> anyhow::Result<Hello> {
  match message {
    Message::Hello(hello) if hello.nonce.len() == NONCE_BYTES => Ok(hello),
    _ => bail!("the other host did not introduce itself"),
  }
}

fn identity(hello: &Hello) -> anyhow::Result<Identity> {
  Ok(Identity {
    host: hello.host.parse().context("the other host's address cannot be read")?,
    incarnation: hello.incarnation,
  })
}

fn introduce(this: Identity, purpose: Purpose, secret: &Secret) -> Hello {
  let nonce: [u8; NONCE_BYTES] = rand::random();
  Hello {
    host: this.host.to_string(),
    incarnation: this.incarnation,
    key: secret.id.clone(),
    nonce: Bytes::copy_from_slice(&nonce),
    purpose: purpose.to_wire(),
    version: VERSION,
    version_min: VERSION_MIN,
  }
}

fn prove(secret: &Secret, role: &[u8], connecting: &Hello, accepting: &Hello) -> Message {
  let code = code(secret, role, connecting, accepting).finalize().into_bytes();
  Message::Proof(Proof {
    code: Bytes::copy_from_slice(&code),
  })
}

/// Receives one message.
///
/// # Errors
///
/// Fails when the connection ends or the message cannot be read.
pub async fn receive(transport: &mut Transport) -> anyhow::Result<Message> {
  let bytes = transport.next().await.context("the other host closed the connection")??;
  Frame::decode_message(&bytes)
}

/// Sends one message.
///
/// # Errors
///
/// Fails when the connection is broken.
pub async fn send(transport: &mut Transport, message: Message) -> anyhow::Result<()> {
  transport.send(Frame::encode_message(message)).await?;
  Ok(())
}

fn verify(
  secret: &Secret,
  role: &[u8],
  connecting: &Hello,
  accepting: &Hello,
  message: Message,
) -> anyhow::Result<()> {
  let Message::Proof(proof) = message else {
    bail!("the other host sent no proof");
  };
  code(secret, role, connecting, accepting)
    .verify_slice(&proof.code)
    .context("the other host's proof is wrong")
}

async fn within<T>(future: impl Future<Output = anyhow::Result<T>>) -> anyhow::Result<T> {
  time::timeout(TIMEOUT, future).await.context("the other host did not answer in time")?
}
