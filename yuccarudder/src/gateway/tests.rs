use {super::directory::spread, std::net::SocketAddr};

fn host(host: u8) -> SocketAddr {
  ([10, 0, 0, host], 80).into()
}

#[test]
fn all_of_equal_hosts_are_named() {
  let hosts = (1..7).map(|index| (host(index), 250)).collect();
  assert_eq!(spread(hosts, || 0.5).len(), 6);
}

#[test]
fn heavier_hosts_are_named_more_often() {
  let mut seed = 0_u32;
  let mut random = || {
    seed = seed.wrapping_mul(1_664_525).wrapping_add(1_013_904_223);
    f64::from(seed >> 8) / f64::from(1 << 24)
  };
  let mut named = [0; 10];
  for _ in 0..1000 {
    let hosts = (0..10).map(|index| (host(index), if index < 5 { 500 } else { 125 })).collect();
    for address in spread(hosts, &mut random) {
      named[usize::from(
        address.ip().to_string().rsplit('.').next().unwrap().parse::<u8>().unwrap(),
      )] += 1;
    }
  }
  let heavy: i32 = named[..5].iter().sum();
  let light: i32 = named[5..].iter().sum();
  assert!(heavy > 2 * light, "{named:?}");
}
