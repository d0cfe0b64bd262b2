use {
  super::command::block_on,
  crate::{
    clock::Clock,
    http,
    upstream::{Call, Pool},
  },
  anyhow::{Context, bail},
  argh::FromArgs,
  hyper::Request,
  std::{net::SocketAddr, time::Duration},
};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
const MAX_RESPONSE_BYTES: u64 = 16 << 20;

/// print the state of a running host: settings and their age, hosts, targets, active requests
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "status")]
pub struct Status {
  /// the host's address for operators
  #[argh(positional)]
  operators: SocketAddr,
}

impl Status {
  pub(super) fn run(self) -> anyhow::Result<()> {
    let text = block_on(async {
      let call = Call::new(
        self.operators,
        CONNECT_TIMEOUT,
        Request::get("/status").body(http::empty())?,
      );
      let response = match Pool::new(Clock::system()).send(call).await {
        Ok(response) => response,
        Err(_) => bail!(
          "{} does not answer; is it the operators' port?",
          self.operators
        ),
      };
      let body = http::collect(response.into_body(), MAX_RESPONSE_BYTES).await;
      body.context("the answer broke off; try again")
    })?;
    println!("{}", String::from_utf8_lossy(&text));
    Ok(())
  }
}
