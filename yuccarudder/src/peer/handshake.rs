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

/// Maximum length of a frame; large enough for a published document of 1 MiB, which grows when
/// it is escaped as JSON.
const MAX_FRAME_BYTES: usize = 8 << 20;
const NONCE_BYTES: usize = 32;
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);
const VERSION: u32 = 1;
const VERSION_MIN: u32 = 1;

/// A framed connection between hosts.
pub type Transport = Framed<TcpStream, LengthDelimitedCodec>;

/// The purpose of a connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Purpose {
  /// Remote procedure calls; see `control`.
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

/// The identity of a host and its process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Identity {
  /// The address at which the host accepts callers.
  pub host: SocketAddr,
  /// A random number that distinguishes this process from earlier ones at the same address.
  pub incarnation: u64,
}

/// Performs the accepting side of the handshake with another host.
///
/// # Errors
///
/// Fails when the other side does not prove that it knows a shared secret, supports no
/// common protocol version, or takes too long.
pub async fn accept(
  stream: TcpStream,
  own_identity: Identity,
  secrets: &[Secret],
) -> anyhow::Result<(Transport, Identity, Purpose)> {
  let mut transport = framed(stream)?;
  let handshake = async {
    let theirs = expect_hello(receive(&mut transport).await?)?;
    let purpose = Purpose::from_wire(theirs.purpose)
      .context("the other host sent an unknown connection purpose")?;
    let secret = secrets
      .iter()
      .find(|secret| secret.id == theirs.key)
      .context("the other host uses an unknown secret")?;
    let ours = new_hello(own_identity, purpose, secret);
    send(&mut transport, Message::Hello(ours.clone())).await?;
    check_version(&theirs)?;
    verify(
      secret,
      b"connect",
      &theirs,
      &ours,
      receive(&mut transport).await?,
    )?;
    send(&mut transport, new_proof(secret, b"accept", &theirs, &ours)).await?;
    Ok((parse_identity(&theirs)?, purpose))
  };
  let (peer, purpose) = with_timeout(handshake).await?;
  Ok((transport, peer, purpose))
}

/// Connects to another host and performs the handshake.
///
/// # Errors
///
/// Fails when the host cannot be reached, does not prove that it knows a shared secret,
/// supports no common protocol version, or takes too long.
pub async fn connect(
  address: SocketAddr,
  own_identity: Identity,
  purpose: Purpose,
  secrets: &[Secret],
) -> anyhow::Result<(Transport, Identity)> {
  let secret = secrets.first().context("the settings contain no secret")?;
  let handshake = async {
    let mut transport = framed(TcpStream::connect(address).await?)?;
    let ours = new_hello(own_identity, purpose, secret);
    send(&mut transport, Message::Hello(ours.clone())).await?;
    let theirs = expect_hello(receive(&mut transport).await?)?;
    check_version(&theirs)?;
    send(
      &mut transport,
      new_proof(secret, b"connect", &ours, &theirs),
    )
    .await?;
    verify(
      secret,
      b"accept",
      &ours,
      &theirs,
      receive(&mut transport).await?,
    )?;
    let peer = parse_identity(&theirs)?;
    Ok((transport, peer))
  };
  with_timeout(handshake).await
}

fn check_version(theirs: &Hello) -> anyhow::Result<()> {
  ensure!(
    theirs.version >= VERSION_MIN && theirs.version_min <= VERSION,
    "the other host supports protocol versions {} to {}, this host {VERSION_MIN} to {VERSION}",
    theirs.version_min,
    theirs.version
  );
  Ok(())
}

/// Computes the authentication code that proves a role in a handshake.
fn mac(secret: &Secret, role: &[u8], connecting: &Hello, accepting: &Hello) -> impl Mac {
  let mut mac = ticket::mac(secret, Domain::Peer, role);
  for hello in [connecting, accepting] {
    mac.update(&prost::Message::encode_length_delimited_to_vec(hello));
  }
  mac
}

fn framed(stream: TcpStream) -> anyhow::Result<Transport> {
  stream.set_nodelay(true)?;
  let mut codec = LengthDelimitedCodec::new();
  codec.set_max_frame_length(MAX_FRAME_BYTES);
  Ok(Framed::new(stream, codec))
}

fn expect_hello(message: Message) -> anyhow::Result<Hello> {
  match message {
    Message::Hello(hello) if hello.nonce.len() == NONCE_BYTES => Ok(hello),
    _ => bail!("the other host did not start the handshake with a valid hello message"),
  }
}

fn parse_identity(hello: &Hello) -> anyhow::Result<Identity> {
  Ok(Identity {
    host: hello.host.parse().context("the other host sent an invalid address")?,
    incarnation: hello.incarnation,
  })
}

fn new_hello(own_identity: Identity, purpose: Purpose, secret: &Secret) -> Hello {
  let nonce: [u8; NONCE_BYTES] = rand::random();
  Hello {
    host: own_identity.host.to_string(),
    incarnation: own_identity.incarnation,
    key: secret.id.clone(),
    nonce: Bytes::copy_from_slice(&nonce),
    purpose: purpose.to_wire(),
    version: VERSION,
    version_min: VERSION_MIN,
  }
}

fn new_proof(secret: &Secret, role: &[u8], connecting: &Hello, accepting: &Hello) -> Message {
  let code = mac(secret, role, connecting, accepting).finalize().into_bytes();
  Message::Proof(Proof {
    code: Bytes::copy_from_slice(&code),
  })
}

/// Receives the next message.
///
/// # Errors
///
/// Fails when the connection ends or the message cannot be decoded.
pub async fn receive(transport: &mut Transport) -> anyhow::Result<Message> {
  let bytes = transport.next().await.context("the other host closed the connection")??;
  Frame::decode_message(&bytes)
}

/// Sends one message.
///
/// # Errors
///
/// Fails when the connection fails.
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
    bail!("the other host sent another message instead of its proof");
  };
  mac(secret, role, connecting, accepting)
    .verify_slice(&proof.code)
    .context("the proof of the other host is invalid")
}

async fn with_timeout<T>(future: impl Future<Output = anyhow::Result<T>>) -> anyhow::Result<T> {
  time::timeout(HANDSHAKE_TIMEOUT, future).await.context("the handshake timed out")?
}
