use {
  super::*,
  crate::{placement::Load, roster::Key, routing::Engine},
  proptest::prelude::*,
  slotmap::SlotMap,
  std::{collections::HashMap, time::Duration},
};

fn engine() -> Engine {
  Engine {
    tokens_per_event: 4,
    link_bytes_per_second: 3e9,
    kv_cache_tokens: 34_000,
    relocatable: true,
    slots: 24,
    kv_bytes_per_token: 163_840.0,
  }
}

const RUN: Run = Run {
  held: 3_600,
  tokens: 4_000,
};

/// A fleet of engines in three data centres, with the load of each.
struct Fleet {
  engines: Vec<(Key, &'static str, Load)>,
}

impl Fleet {
  fn new(loads: &[u64]) -> Self {
    let mut slots: SlotMap<Key, ()> = SlotMap::with_key();
    let centres = ["east", "north", "west"];
    let engines = loads.iter().enumerate().map(|(index, tokens)| {
      let load = Load {
        runs: u32::try_from(tokens / 4_000).unwrap(),
        tokens: *tokens,
        ..Load::default()
      };
      (slots.insert(()), centres[index % 3], load)
    });
    Self {
      engines: engines.collect(),
    }
  }

  fn candidates(&self) -> impl Iterator<Item = Candidate<'static>> + '_ {
    self.engines.iter().map(|(key, data_centre, load)| Candidate {
      data_centre,
      key: *key,
      load: *load,
    })
  }

  fn centre(&self, key: Key) -> &'static str {
    self.engines.iter().find(|engine| engine.0 == key).unwrap().1
  }
}

fn source(process: u64, data_centre: &'static str, runs: u32) -> Source<'static> {
  Source {
    data_centre,
    held: RUN.held * u64::from(runs),
    process,
    runs,
    tokens: RUN.tokens * u64::from(runs),
  }
}

fn plans(fleet: &Fleet, sources: &[Source<'static>]) -> Vec<(Position, Plan)> {
  let engine = engine();
  let positions = sources.iter().flat_map(|source| {
    (0..source.runs).map(|index| Position {
      index,
      process: source.process,
    })
  });
  let planned = positions.filter_map(|position| {
    let plan = plan(&engine, sources, fleet.candidates(), position, RUN)?;
    Some((position, plan))
  });
  planned.collect()
}

/// The pattern: three of eighteen engines leave at once with five runs each, and the
/// hosts that have the runs do not know each other's choices.
#[test]
fn three_engines_leave_at_once() {
  let fleet = Fleet::new(&[12_000; 15]);
  let sources = [
    source(1, "east", 5),
    source(2, "east", 5),
    source(3, "north", 5),
  ];
  let plans = plans(&fleet, &sources);
  assert_eq!(plans.len(), 15);
  let mut by_destination: HashMap<Key, Vec<Plan>> = HashMap::new();
  for (_, plan) in &plans {
    by_destination.entry(plan.destination).or_default().push(plan.clone());
  }
  for copies in by_destination.values_mut() {
    copies.sort_by_key(|copy| copy.start);
    assert!(
      copies.windows(2).all(|pair| pair[0].end <= pair[1].start),
      "{copies:?}"
    );
  }
  // All fit into the shortest notice.
  let window = Window::default();
  assert!(plans.iter().all(|(_, plan)| window.copy_at(plan).is_some()));
}

#[test]
fn run_goes_on_in_its_data_centre_if_the_link_is_free() {
  let fleet = Fleet::new(&[4_000; 6]);
  let plans = plans(&fleet, &[source(1, "west", 1)]);
  assert_eq!(fleet.centre(plans[0].1.destination), "west");
}

#[test]
fn full_engines_take_no_run() {
  let fleet = Fleet::new(&[31_000, 31_000, 31_000]);
  assert_eq!(plans(&fleet, &[source(1, "east", 1)]), []);
}

#[test]
fn run_that_the_others_do_not_know_is_planned_after_theirs() {
  let fleet = Fleet::new(&[4_000; 6]);
  let position = Position {
    index: 4,
    process: 1,
  };
  let engine = engine();
  let plan = plan(
    &engine,
    &[source(1, "east", 2)],
    fleet.candidates(),
    position,
    RUN,
  )
  .unwrap();
  assert!(plan.start >= engine.transfer_time(2 * RUN.held));
}

/// Names a case: end of the copy, the notice if it is known, and when the copy is ordered,
/// all in milliseconds; it is planned to start at 500.
macro_rules! windows {
  ($name:ident, $end:expr, $notice:expr, $copy:expr) => {
    #[test]
    fn $name() {
      let ms = Duration::from_millis;
      let mut slots: SlotMap<Key, ()> = SlotMap::with_key();
      let plan = Plan {
        destination: slots.insert(()),
        end: ms($end),
        start: ms(500),
      };
      let notice: Option<u64> = $notice;
      let window = Window {
        notice: notice.map(ms),
      };
      let copy: Option<u64> = $copy;
      assert_eq!(window.copy_at(&plan), copy.map(ms));
    }
  };
}

windows!(copy_is_ordered_before_its_turn, 700, None, Some(200));
windows!(long_notice_is_hoped_for, 1_960, None, Some(200));
windows!(copy_beyond_all_notices_holds_up_no_other, 1_961, None, None);
windows!(
  copy_that_cannot_be_done_holds_up_no_other,
  1_661,
  Some(1_700),
  None
);
windows!(notice_is_used_to_its_end, 1_660, Some(1_700), Some(200));
windows!(longer_notice_takes_more_runs, 1_600, Some(2_100), Some(200));

proptest! {
  /// Copies of all hosts never meet on a link, whatever the loads are.
  #[test]
  fn copies_never_meet_on_a_link(
    loads in prop::collection::vec(0_u64..34_000, 1..20),
    runs in prop::collection::vec(0_u32..9, 1..5),
  ) {
    let fleet = Fleet::new(&loads);
    let sources: Vec<Source<'static>> =
      (1..).zip(&runs).map(|(process, runs)| source(process, "east", *runs)).collect();
    let plans = plans(&fleet, &sources);
    for (index, (position, plan)) in plans.iter().enumerate() {
      for (other_position, other) in &plans[index + 1..] {
        let shares_link = position.process == other_position.process || plan.destination == other.destination;
        prop_assert!(!shares_link || plan.end <= other.start || other.end <= plan.start);
      }
    }
  }
}
