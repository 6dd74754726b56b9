//! Unit tests of private items.

use super::*;

#[test]
fn a_locked_mark_is_a_living_process_and_any_other_is_swept_away() {
    let directory = std::env::temp_dir().join(format!("gullpulley-overlap-{}", std::process::id()));
    fs::create_dir_all(&directory).unwrap();
    let registration = ProcessRegistration::register(&directory, "n/0").unwrap();
    assert_eq!(registration.count_others(), 0, "its own lock file is not counted");
    let living = File::create(directory.join("process-n_0-living")).unwrap();
    living.lock().unwrap();
    let dead = directory.join("process-n_0-dead");
    File::create(&dead).unwrap();
    let elsewhere = directory.join("process-n_01-x");
    File::create(&elsewhere).unwrap();
    assert_eq!(registration.count_others(), 1);
    assert!(
        !dead.exists() && elsewhere.exists(),
        "only lock files of this sidecar's dead processes are removed"
    );
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
    let lock_file = directory.join("process-n_0-living");
    let living = File::create(&lock_file).unwrap();
    living.lock().unwrap();
    assert_eq!(registration.count_others(), 1);
    // The whole directory is unreadable.
    fs::rename(&directory, &away).unwrap();
    assert_eq!(registration.count_others(), 1);
    fs::rename(&away, &directory).unwrap();
    // One lock file can't be opened: it is a symbolic link to itself.
    fs::rename(&lock_file, folder.path().join("aside")).unwrap();
    std::os::unix::fs::symlink(&lock_file, &lock_file).unwrap();
    assert_eq!(registration.count_others(), 1);
    // A process that was never seen alive is not counted while its lock file can't be opened.
    let unseen = directory.join("process-n_0-unseen");
    std::os::unix::fs::symlink(&unseen, &unseen).unwrap();
    assert_eq!(registration.count_others(), 1);
    fs::remove_file(&lock_file).unwrap();
    assert_eq!(registration.count_others(), 0, "a process whose lock file is gone has ended");
}
