use {super::*, proptest::prelude::*};

/// Guards against a time that cannot be added to an instant and ends the task that adds it.
#[test]
fn largest_time_can_be_added_to_an_instant() {
  let now = Instant::now();
  assert_eq!(after(now, Duration::MAX), now + MAX);
  assert_eq!(
    after(now, Duration::from_millis(7)),
    now + Duration::from_millis(7)
  );
}

proptest! {
  /// Guards against numbers that are no time, or too large for one.
  #[test]
  fn any_number_of_seconds_is_converted(seconds: f64) {
    let time = from_seconds(seconds);
    prop_assert_eq!(time.is_some(), seconds >= 0.0);
    if let Some(time) = time {
      prop_assert!(after(Instant::now(), time + time) > Instant::now() - Duration::from_secs(1));
      let difference = time.as_secs_f64() - seconds.min(MAX.as_secs_f64());
      prop_assert!(difference.abs() < 1e-6, "{difference}");
    }
  }
}
