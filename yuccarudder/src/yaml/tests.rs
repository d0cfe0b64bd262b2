use super::*;

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
