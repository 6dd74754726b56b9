//! Unit tests of private items.

use super::*;

#[test]
fn returns_keep_their_order_though_the_wall_clock_was_ahead_and_the_latest_are_remembered() {
    let folder = tempfile::tempdir().unwrap();
    let store = ManualEjectionStore::new(folder.path(), "n/0");
    // Written while the wall clock was an hour ahead; it has been set back since.
    let ahead = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64 + 3_600_000;
    let before =
        ManualEjections { suspended: ["a".to_owned()].into(), resumed: [("b".to_owned(), ahead)].into() };
    fs::write(&store.file, serde_json::to_vec(&before).unwrap()).unwrap();
    // A file left half written by a killed process is overwritten.
    fs::write(&store.new, "{\"suspen").unwrap();
    let ejections = store.persist("a", Order::Resume).unwrap();
    assert_eq!(ejections.resumed["b"], ahead, "a resumed endpoint is not dropped when the clock steps");
    assert!(ejections.resumed["a"] > ahead, "{ejections:?}");
    for number in 0..MAX_RESUMED {
        store.persist(&format!("e{number}"), Order::Suspend).unwrap();
        store.persist(&format!("e{number}"), Order::Resume).unwrap();
    }
    let ejections = store.read().unwrap();
    assert_eq!(ejections.resumed.len(), MAX_RESUMED);
    assert!(
        !ejections.resumed.contains_key("b") && !ejections.resumed.contains_key("a"),
        "the oldest are dropped"
    );
}
