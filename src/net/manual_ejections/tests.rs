//! Tests of what only this module can see.

use super::*;

#[test]
fn returns_keep_their_order_though_the_wall_clock_was_ahead_and_the_latest_are_remembered() {
    let folder = tempfile::tempdir().unwrap();
    let ejections = ManualEjectionStore::new(folder.path(), "n/0");
    // Written while the clock was an hour ahead; it has been put back since.
    let ahead = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64 + 3_600_000;
    let before =
        ManualEjections { suspended: ["a".to_owned()].into(), resumed: [("b".to_owned(), ahead)].into() };
    fs::write(&ejections.file, serde_json::to_vec(&before).unwrap()).unwrap();
    // What a kill left half written is no hindrance.
    fs::write(&ejections.new, "{\"suspen").unwrap();
    let standing = ejections.keep("a", Order::Resume).unwrap();
    assert_eq!(standing.resumed["b"], ahead, "a return is not forgotten as the clock steps");
    assert!(standing.resumed["a"] > ahead, "{standing:?}");
    for number in 0..RETURNS_KEPT {
        ejections.keep(&format!("e{number}"), Order::Suspend).unwrap();
        ejections.keep(&format!("e{number}"), Order::Resume).unwrap();
    }
    let standing = ejections.read().unwrap();
    assert_eq!(standing.resumed.len(), RETURNS_KEPT);
    assert!(!standing.resumed.contains_key("b") && !standing.resumed.contains_key("a"), "the oldest go");
}
