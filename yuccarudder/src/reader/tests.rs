use {super::*, std::time::Duration};

/// Names a case: rank, area, age of the proof in milliseconds, whether the targets were
/// listed, and the mode.
macro_rules! modes {
  ($name:ident, $rank:expr, $area:ident, $proof:expr, $listed:expr, $mode:pat) => {
    #[test]
    fn $name() {
      let duty = Role {
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
  Mode::Watch(_)
);
modes!(
  later_host_rests_while_others_prove,
  8,
  Operator,
  Some(2_499),
  true,
  Mode::Idle(_)
);
modes!(
  later_host_reads_when_proofs_are_old,
  8,
  Operator,
  Some(2_500),
  true,
  Mode::Watch(_)
);
modes!(
  later_host_reads_when_it_knows_nothing,
  70,
  Operator,
  None,
  false,
  Mode::Watch(_)
);
modes!(
  first_hosts_follow_the_targets,
  1,
  Targets,
  Some(0),
  true,
  Mode::Watch(_)
);
modes!(
  later_host_looks_at_old_lists,
  2,
  Targets,
  Some(0),
  true,
  Mode::Poll(_)
);
modes!(
  first_list_is_a_current_one,
  2,
  Targets,
  Some(0),
  false,
  Mode::Watch(_)
);

#[test]
fn larger_fleets_try_an_absent_platform_less_often() {
  let backoff = |hosts, rank| Role { hosts, rank }.longest_backoff();
  assert_eq!(backoff(6, 4), backoff(75, 4));
  assert!(backoff(75, 5) > 9 * backoff(75, 4));
  let first = |hosts, rank| Role { hosts, rank }.first_backoff();
  assert_eq!(first(6, 4), first(75, 4));
  assert!(first(75, 5) > 9 * first(75, 4));
}

/// Names a case: rank, whether the platform failed the host, milliseconds without an
/// answer, and whether the engines are asked.
macro_rules! asks_engines {
  ($name:ident, $rank:expr, $failed:expr, $silence:expr, $expected:expr) => {
    #[test]
    fn $name() {
      let duty = Role {
        hosts: 75,
        rank: $rank,
      };
      let silence = Duration::from_millis($silence);
      assert_eq!(duty.polls_engines($failed, silence), $expected);
    }
  };
}

asks_engines!(engines_are_asked_after_a_failure, 0, true, 10, true);
asks_engines!(engines_are_asked_in_a_silence, 0, false, 620, true);
asks_engines!(long_wait_is_no_silence, 0, false, 619, false);
asks_engines!(second_reader_pauses_longer, 1, false, 620, false);
asks_engines!(hosts_that_do_not_read_ask_nobody, 2, true, 9_000, false);
