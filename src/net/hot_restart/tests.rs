//! Tests of what only this module can see.

use super::*;

#[test]
fn a_locked_mark_is_a_living_process_and_any_other_is_swept_away() {
    let directory = std::env::temp_dir().join(format!("gullpulley-overlap-{}", std::process::id()));
    fs::create_dir_all(&directory).unwrap();
    let registration = ProcessRegistration::register(&directory, "n/0").unwrap();
    assert_eq!(registration.count_others(), 0, "its own mark is no other");
    let living = File::create(directory.join("process-n_0-living")).unwrap();
    living.lock().unwrap();
    let dead = directory.join("process-n_0-dead");
    File::create(&dead).unwrap();
    let elsewhere = directory.join("process-n_01-x");
    File::create(&elsewhere).unwrap();
    assert_eq!(registration.count_others(), 1);
    assert!(!dead.exists() && elsewhere.exists(), "only this sidecar's dead are swept");
    drop(living);
    assert_eq!(registration.count_others(), 0);
    drop(registration);
    assert!(!directory.join(format!("process-n_0-{}", std::process::id())).exists());
    fs::remove_dir_all(&directory).unwrap();
}

#[test]
fn a_look_that_fails_leaves_what_was_seen_last() {
    let folder = tempfile::tempdir().unwrap();
    let (directory, away) = (folder.path().join("marks"), folder.path().join("away"));
    fs::create_dir(&directory).unwrap();
    let registration = ProcessRegistration::register(&directory, "n/0").unwrap();
    let mark = directory.join("process-n_0-living");
    let living = File::create(&mark).unwrap();
    living.lock().unwrap();
    assert_eq!(registration.count_others(), 1);
    // The whole folder can't be read.
    fs::rename(&directory, &away).unwrap();
    assert_eq!(registration.count_others(), 1);
    fs::rename(&away, &directory).unwrap();
    // One mark can't be opened: a link to itself has no end.
    fs::rename(&mark, folder.path().join("aside")).unwrap();
    std::os::unix::fs::symlink(&mark, &mark).unwrap();
    assert_eq!(registration.count_others(), 1);
    // Of whom nothing was ever seen nothing is known.
    let unseen = directory.join("process-n_0-unseen");
    std::os::unix::fs::symlink(&unseen, &unseen).unwrap();
    assert_eq!(registration.count_others(), 1);
    fs::remove_file(&mark).unwrap();
    assert_eq!(registration.count_others(), 0, "what is gone has ended");
}
