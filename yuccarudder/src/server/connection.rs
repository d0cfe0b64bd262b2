use {
  super::{occupancy::Occupancy, unmarked::Unmarked},
  socket2::SockRef,
  std::{
    io::{self, IoSlice},
    pin::Pin,
    sync::Arc,
    task::{Context, Poll, ready},
    time::Duration,
  },
  tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
  },
};

/// Bytes of one read, fewer than the server's read buffer has room for, so that it grows only while it holds
/// a part of a head.
const READ_BYTES: usize = (8 << 10) - 1;

/// The connection of a caller, which is reset unless a response that ends with it is whole.
///
/// The kernel resets it as well if this process is killed.
#[derive(Debug)]
pub struct Connection {
  is_reset_on_close: bool,
  occupancy: Option<Arc<Occupancy>>,
  stream: TcpStream,
  unmarked: Unmarked,
}

impl Connection {
  /// Wraps the connection on which `unmarked` says whether such a response is under way.
  pub fn new(stream: TcpStream, unmarked: Unmarked) -> Self {
    Self {
      is_reset_on_close: false,
      occupancy: None,
      stream,
      unmarked,
    }
  }

  /// Records what is read and written, which may need more memory.
  #[must_use]
  pub fn with_occupancy(mut self, occupancy: Arc<Occupancy>) -> Self {
    self.occupancy = Some(occupancy);
    self
  }

  fn record_write(&self) {
    if let Some(occupancy) = &self.occupancy {
      occupancy.record_write();
    }
  }

  /// Tells the kernel whether to reset the connection if it is closed.
  fn set_reset_on_close(&mut self, is_reset_on_close: bool) -> io::Result<()> {
    if self.is_reset_on_close != is_reset_on_close {
      let linger = is_reset_on_close.then_some(Duration::ZERO);
      SockRef::from(&self.stream).set_linger(linger)?;
      self.is_reset_on_close = is_reset_on_close;
    }
    Ok(())
  }

  /// Has the connection reset if a response is under way. One whose body has ended may still have bytes to
  /// write.
  fn begin_write(&mut self) -> io::Result<()> {
    if self.unmarked.is_under_way() {
      self.set_reset_on_close(true)?;
    }
    Ok(())
  }
}

impl AsyncRead for Connection {
  fn poll_read(
    mut self: Pin<&mut Self>,
    cx: &mut Context<'_>,
    buffer: &mut ReadBuf<'_>,
  ) -> Poll<io::Result<()>> {
    // Read elsewhere first: only what arrived makes pages of the read buffer resident.
    let mut bytes = [0; READ_BYTES];
    let length = READ_BYTES.min(buffer.remaining());
    let mut part = ReadBuf::new(&mut bytes[..length]);
    ready!(Pin::new(&mut self.stream).poll_read(cx, &mut part))?;
    buffer.put_slice(part.filled());
    let length = part.filled().len();
    let recorded = self.occupancy.as_ref().map(|occupancy| occupancy.record_read(length as u64));
    Poll::Ready(recorded.transpose().map(drop).map_err(io::Error::other))
  }
}

impl AsyncWrite for Connection {
  fn poll_write(
    mut self: Pin<&mut Self>,
    cx: &mut Context<'_>,
    bytes: &[u8],
  ) -> Poll<io::Result<usize>> {
    self.begin_write()?;
    let result = ready!(Pin::new(&mut self.stream).poll_write(cx, bytes));
    self.record_write();
    Poll::Ready(result)
  }

  fn poll_write_vectored(
    mut self: Pin<&mut Self>,
    cx: &mut Context<'_>,
    slices: &[IoSlice<'_>],
  ) -> Poll<io::Result<usize>> {
    self.begin_write()?;
    let result = ready!(Pin::new(&mut self.stream).poll_write_vectored(cx, slices));
    self.record_write();
    Poll::Ready(result)
  }

  fn is_write_vectored(&self) -> bool {
    self.stream.is_write_vectored()
  }

  fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
    Pin::new(&mut self.stream).poll_flush(cx)
  }

  fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
    // Shut down once all is written.
    let is_under_way = self.unmarked.is_under_way();
    self.set_reset_on_close(is_under_way)?;
    if self.is_reset_on_close {
      return Poll::Ready(Ok(()));
    }
    Pin::new(&mut self.stream).poll_shutdown(cx)
  }
}
