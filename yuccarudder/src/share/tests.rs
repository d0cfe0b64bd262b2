use {super::*, proptest::prelude::*, std::net::SocketAddr, yare::parameterized};

fn address(host: usize) -> SocketAddr {
  let [.., high, low] = host.to_be_bytes();
  ([10, 1, high, low], 7200).into()
}

/// Guards against accounts that go before others although they use more than their part, or the reverse.
#[parameterized(
  one_account = { &[100_000], &[true] },
  equal_accounts = { &[50_000, 50_000], &[true, true] },
  one_large = { &[60_000, 20_000, 10_000], &[true, false, false] },
  two_large = { &[40_000, 45_000, 5_000], &[true, true, false] },
)]
fn large_accounts_are_over_their_share(uses: &[u64], over: &[bool]) {
  let mut table = Table::default();
  table.set_local((0..).zip(uses.iter().copied()));
  let found: Vec<bool> =
    (0..).take(uses.len()).map(|account| table.is_over_share(account, 100_000)).collect();
  assert_eq!(found, over);
  assert!(!table.is_over_share(99, 100_000));
}

/// Guards against uses that other hosts keep after they have ended, although a heartbeat was lost.
#[test]
fn lost_heartbeat_is_made_up_for() {
  let mut sender = Table::default();
  let mut receiver = Table::default();
  sender.set_local([(1, 10_000), (2, 20_000)]);
  receiver.merge(address(1), &sender.take_news());
  assert_eq!(receiver.used(2), 20_224);
  sender.set_local([(2, 40_000)]);
  sender.take_news();
  for _ in 0..4 {
    receiver.merge(address(1), &sender.take_news());
  }
  assert_eq!((receiver.used(1), receiver.used(2)), (0, 40_192));
  receiver.remove_host(address(1));
  assert_eq!(receiver.used(2), 0);
}

/// Guards against heartbeats that repeat what has hardly changed.
#[test]
fn unchanged_uses_are_not_repeated() {
  let mut table = Table::default();
  table.set_local((0..30).map(|account| (account, 50_000)));
  assert_eq!(table.take_news().len(), 30);
  table.set_local((0..30).map(|account| (account, 52_000)));
  assert_eq!(table.take_news().len(), 1);
}

/// Guards against messages that grow the state or make an account appear to use everything.
#[test]
fn impossible_numbers_are_clamped() {
  let mut table = Table::default();
  for round in 0..100 {
    let messages: Vec<Message> = (0..10_000)
      .map(|account| Message {
        account: round * 10_000 + account,
        tokens: u32::MAX,
      })
      .collect();
    table.merge(address(1), &messages);
  }
  let known = (0..1_000_000).filter(|account| table.used(*account) > 0).count();
  assert!(known <= 256, "{known}");
  assert!(table.used(0) <= 256 << 24);
  table.remove_host(address(1));
  assert_eq!(table.used(0), 0);
  table.set_local((0..100_000).map(|account| (account, u64::MAX >> 32)));
  assert!(table.take_news().len() <= 64);
}

/// Hands out `divided` in small steps, each to the account that has got least of those that have not got all that
/// they use; returns the most that one got, or `None` if there is more than all use.
fn handed_out(uses: &[u64], divided: u64) -> Option<u64> {
  let mut got = vec![0; uses.len()];
  for _ in 0..divided {
    let wanting = (0..uses.len()).filter(|index| got[*index] < uses[*index]);
    let next = wanting.min_by_key(|index| got[*index])?;
    got[next] += 1;
  }
  got.into_iter().zip(uses).filter(|(got, used)| got < used).map(|(got, _)| got).max()
}

proptest! {
  /// Guards against parts that are not max-min fair, by handing the capacity out unit by unit.
  #[test]
  fn fair_part_equals_direct_computation(
    uses in prop::collection::vec(0_u64..200, 1..12),
    divided in 1_u64..1_000,
  ) {
    let part = fair_part(&uses, divided as f64);
    match handed_out(&uses, divided) {
      Some(most) => prop_assert!((part - most as f64).abs() <= 1.0, "{part} {most}"),
      None => prop_assert!(part >= *uses.iter().max().unwrap() as f64 || part.is_infinite(), "{part}"),
    }
  }
}
