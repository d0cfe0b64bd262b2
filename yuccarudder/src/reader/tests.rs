use {super::*, std::time::Duration};

/// Names a case: rank, area, age of the proof in milliseconds, whether the targets were
/// listed, and the mode.
macro_rules! modes {
  ($name:ident, $rank:expr, $area:ident, $proof:expr, $listed:expr, $mode:pat) => {
    #[test]
    fn $name() {
      let duty = Duty {
        hosts: 75,
        rank: $rank,
      };
      let proof: Option<u64> = $proof;
      let mode = duty.mode(Area::$area, proof.map(Duration::from_millis), $listed);
      assert!(matches!(mode, $mode), "{mode:?}");
    }
  };
}

modes!(
  first_host_follows_the_operator,
  0,
  Operator,
  Some(0),
  true,
  Mode::Follow(_)
);
modes!(
  later_host_rests_while_others_prove,
  8,
  Operator,
  Some(2_499),
  true,
  Mode::Rest(_)
);
modes!(
  later_host_reads_when_proofs_are_old,
  8,
  Operator,
  Some(2_500),
  true,
  Mode::Follow(_)
);
modes!(
  later_host_reads_when_it_knows_nothing,
  70,
  Operator,
  None,
  false,
  Mode::Follow(_)
);
modes!(
  first_hosts_follow_the_targets,
  1,
  Targets,
  Some(0),
  true,
  Mode::Follow(_)
);
modes!(
  later_host_looks_at_old_lists,
  2,
  Targets,
  Some(0),
  true,
  Mode::Glance(_)
);
modes!(
  first_list_is_a_current_one,
  2,
  Targets,
  Some(0),
  false,
  Mode::Follow(_)
);

#[test]
fn larger_fleets_try_an_absent_platform_less_often() {
  let backoff = |hosts, rank| Duty { hosts, rank }.longest_backoff();
  assert_eq!(backoff(6, 5), backoff(75, 7));
  assert!(backoff(75, 8) > 9 * backoff(75, 7));
}
