use {super::*, proptest::prelude::*};

/// Tests that reading a document reports exactly the given faults.
macro_rules! reports {
  ($name:ident, $text:expr, [$($fault:expr),* $(,)?]) => {
    #[test]
    fn $name() {
      let faults: Vec<String> = read_faults($text).iter().map(ToString::to_string).collect();
      let expected: Vec<&str> = vec![$($fault),*];
      assert_eq!(faults, expected);
    }
  };
}

fn read_faults(text: &str) -> Vec<Fault> {
  let result = read("file", text, |root| {
    let mut map = root.map()?;
    map.get("address").and_then(|node| node.address());
    map.get("count").and_then(|node| node.integer(&(1..=10)));
    map.get("flag").and_then(|node| node.boolean());
    map.get("size").and_then(|node| node.size(&(1024..=4096)));
    map.get("wait").and_then(|node| {
      let second = std::time::Duration::from_secs(1);
      node.duration(&(second..=60 * second))
    });
    map.get("word").and_then(|node| node.choice(&[("in", 1), ("out", 2)]));
    map.require("name", "text").and_then(|node| node.string());
    map.finish();
    Some(())
  });
  result.err().unwrap_or_default()
}

reports!(
  no_fault_in_valid_document,
  "{name: a, address: '10.0.0.1:80', count: 3, flag: true, size: 2KiB, wait: 2s, word: in}",
  []
);
reports!(
  duplicate_key,
  "name: a\nname: b\n",
  ["file:2: found duplicated key in mapping, allowed: a well-formed YAML document"]
);
reports!(
  all_faults_by_line,
  "count: 11\nflag: 1\nwrong: 1\n",
  [
    "file:1: found no key `name`, allowed: text",
    "file:1: count: found the number 11, allowed: a whole number from 1 to 10",
    "file:2: flag: found the number 1, allowed: true or false",
    "file:3: wrong: found the unknown key `wrong`, allowed: address, count, flag, name, size, wait, word",
  ]
);
reports!(
  address_without_port,
  "{name: a, address: 10.0.0.1}",
  ["file:1: address: found `10.0.0.1`, allowed: an IP address and port, such as 10.0.0.1:8080"]
);
reports!(
  address_by_name,
  "{name: a, address: 'localhost:80'}",
  ["file:1: address: found `localhost:80`, allowed: an IP address and port, such as 10.0.0.1:8080"]
);
reports!(
  duration_without_unit,
  "{name: a, wait: 5}",
  ["file:1: wait: found the number 5, allowed: a duration with a unit, from 1s to 1m"]
);
reports!(
  duration_out_of_range,
  "{name: a, wait: 2h}",
  ["file:1: wait: found `2h`, allowed: a duration with a unit, from 1s to 1m"]
);
reports!(
  size_out_of_range,
  "{name: a, size: 8KiB}",
  ["file:1: size: found `8KiB`, allowed: a size with a unit, from 1.0 KiB to 4.0 KiB"]
);
reports!(
  choice_not_allowed,
  "{name: a, word: gone}",
  ["file:1: word: found `gone`, allowed: in, out"]
);
reports!(
  not_a_mapping,
  "[1]",
  ["file:1: found a list, allowed: a mapping"]
);
reports!(
  two_documents,
  "name: a\n---\nname: b\n",
  ["file:1: found 2 documents, allowed: exactly one YAML document"]
);

#[test]
fn malformed_document_is_one_fault() {
  let faults = read_faults("name: [1\nb");
  assert_eq!(faults.len(), 1);
  assert_eq!(faults[0].allowed, "a well-formed YAML document");
}

/// Guards against a document whose nesting takes all the stack and so ends the process.
#[test]
fn nesting_costs_no_stack() {
  const DEPTH: usize = 200_000;
  let nested = [
    "- ".repeat(DEPTH),
    "? ".repeat(DEPTH),
    "[".repeat(DEPTH),
    "{a: ".repeat(DEPTH),
    format!("{}{}", "[".repeat(DEPTH), "]".repeat(DEPTH)),
    "- ? ".repeat(DEPTH),
    format!("a: {}", "!t ".repeat(DEPTH)),
  ];
  for text in nested {
    let start = text[..6].to_owned();
    let read = read("test", &text, |node| node.map().map(|_| ()));
    assert!(read.is_err(), "{start}");
  }
}

/// Guards against nesting by references to earlier parts of a document.
#[test]
fn nesting_by_references_counts() {
  let chain = |length: usize| {
    let links = (1..length).map(|index| format!("b{index}: &a{index} [*a{}]\n", index - 1));
    let links: String = links.collect();
    read_faults(&format!("b0: &a0 []\n{links}"))
  };
  assert!(chain(60).iter().all(|fault| fault.allowed != "at most 64 levels"));
  let faults = chain(2_000);
  assert_eq!(faults.len(), 1);
  assert_eq!(
    (faults[0].allowed.as_str(), faults[0].line),
    ("at most 64 levels", 64)
  );
}

proptest! {
  /// Guards against a document that ends the process which reads it.
  #[test]
  fn no_document_panics(
    parts in prop::collection::vec(
      prop_oneof![
        prop::sample::select(vec![
          "- ", "? ", ": ", "[", "]", "{", "}", ",", "\n", "\n  ", "a: ", "name: ", "&a ", "*a ", "!!int ",
          "!t ", "| ", "> ", "\"", "'", "#", "---\n", "...\n", "%YAML 1.2\n", "1e400", "-1", "~", "\t",
          "\u{feff}", "wait: 99999999999999999999s\n", "size: 99999999999999999999GiB\n",
          "address: 1.2.3.4:65536\n", "count: 99999999999999999999\n",
        ])
        .prop_map(str::to_owned),
        any::<char>().prop_map(String::from),
        (1..3_000_usize).prop_map(|depth| "- ".repeat(depth)),
        (1..300_usize).prop_map(|depth| "{a: ".repeat(depth)),
      ],
      0..40,
    ),
  ) {
    drop(read_faults(&parts.concat()));
  }
}
