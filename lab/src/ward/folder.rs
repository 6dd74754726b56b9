//! The folder as the traced program sees it: which of its descriptors lead there, and what they have done.

use crate::calls::Call;
use gullpulley_lab::disk::{Change, Disk, Entry, FileId, Listing};
use gullpulley_lab::seeds::{Part, draws};
use std::collections::HashMap;
use std::fs::{self, File};
use std::io;
use std::os::unix::fs::{FileExt, MetadataExt};
use std::path::{Path, PathBuf};

/// A descriptor's file.
#[derive(Clone, Debug, PartialEq)]
pub enum Opened {
    /// A file of the folder.
    File(FileId),
    /// The folder, or one below it, by its path from there.
    Folder(PathBuf),
}

/// The folder, and what is known of its files.
pub struct Folder {
    path: PathBuf,
    disk: Disk,
    /// Held open: so no number of the file system is given to another file, and what was written can be read.
    files: HashMap<FileId, File>,
    numbers: HashMap<(u64, u64), FileId>,
}

impl Folder {
    /// A folder with all that it holds as durable; made where it is missing.
    pub fn open(path: &Path) -> io::Result<Self> {
        fs::create_dir_all(path)?;
        let path = path.canonicalize()?;
        let mut folder =
            Folder { path, disk: Disk::default(), files: HashMap::new(), numbers: HashMap::new() };
        let mut left = vec![PathBuf::new()];
        while let Some(below) = left.pop() {
            let listing = folder.listing(&below)?;
            for (name, entry) in &listing {
                match entry {
                    Entry::Folder => left.push(below.join(name)),
                    Entry::File(file) => {
                        let content = fs::read(folder.path.join(&below).join(name))?;
                        folder.disk.found(*file, content);
                    }
                }
            }
            folder.disk.folder_synced(&below, listing);
        }
        Ok(folder)
    }

    /// What a descriptor of a process leads to, where that lies in the folder.
    pub fn opened(&mut self, pid: i32, fd: i32) -> Option<Opened> {
        let link = PathBuf::from(format!("/proc/{pid}/fd/{fd}"));
        let path = fs::read_link(&link).ok()?;
        let below = path.strip_prefix(&self.path).ok()?;
        let data = fs::metadata(&link).ok()?;
        if data.is_dir() {
            return Some(Opened::Folder(below.to_owned()));
        }
        let file = self.known(data.dev(), data.ino(), &link).ok()?;
        data.is_file().then_some(Opened::File(file))
    }

    fn known(&mut self, device: u64, number: u64, at: &Path) -> io::Result<FileId> {
        if let Some(file) = self.numbers.get(&(device, number)) {
            return Ok(*file);
        }
        let file = FileId(self.files.len() as u64);
        self.files.insert(file, File::open(at)?);
        self.numbers.insert((device, number), file);
        Ok(file)
    }

    fn listing(&mut self, below: &Path) -> io::Result<Listing> {
        let mut listing = Listing::new();
        for entry in fs::read_dir(self.path.join(below))? {
            let entry = entry?;
            let data = entry.metadata()?;
            let held = match data.is_dir() {
                true => Entry::Folder,
                false => Entry::File(self.known(data.dev(), data.ino(), &entry.path())?),
            };
            listing.insert(entry.file_name(), held);
        }
        Ok(listing)
    }

    /// The length of a file now.
    pub fn length(&self, file: FileId) -> u64 {
        self.files.get(&file).and_then(|file| file.metadata().ok()).map_or(0, |data| data.len())
    }

    /// Changes of a file that are not durable yet.
    pub fn pending(&self, file: FileId) -> usize {
        self.disk.pending(file)
    }

    /// A call of a process has ended well, with this result; `pending` is what was not durable when it began.
    pub fn done(
        &mut self,
        pid: i32,
        call: Call,
        opened: &Opened,
        result: u64,
        pending: usize,
    ) -> io::Result<()> {
        match (call, opened) {
            (Call::Sync(_), Opened::Folder(below)) => {
                let listing = self.listing(below)?;
                self.disk.folder_synced(below, listing);
            }
            (Call::Sync(_), Opened::File(file)) => self.disk.synced(*file, pending),
            (Call::WriteAt(_, at), Opened::File(file)) => self.wrote(*file, at, result)?,
            (Call::Write(fd), Opened::File(file)) => {
                let at = stands(pid, fd)?.saturating_sub(result);
                self.wrote(*file, at, result)?;
            }
            (Call::Truncate(_, length), Opened::File(file)) => {
                self.disk.changed(*file, Change::Length(length));
            }
            (Call::Allocate(..), Opened::File(file)) => {
                let length = self.length(*file);
                self.disk.changed(*file, Change::Length(length));
            }
            (Call::Open(true), Opened::File(file)) => self.disk.changed(*file, Change::Length(0)),
            _ => {}
        }
        Ok(())
    }

    fn wrote(&mut self, file: FileId, at: u64, count: u64) -> io::Result<()> {
        let mut bytes = vec![0; count as usize];
        if let Some(file) = self.files.get(&file) {
            file.read_exact_at(&mut bytes, at)?;
        }
        self.disk.changed(file, Change::Write(at, bytes));
        Ok(())
    }

    /// Leaves in the folder only what a power cut would.
    pub fn cut(&self, seed: u64) -> io::Result<()> {
        let (folders, files) = self.disk.after_cut(&mut draws(seed, Part::Disk, 0));
        for entry in fs::read_dir(&self.path)? {
            let path = entry?.path();
            if path.is_dir() { fs::remove_dir_all(path)? } else { fs::remove_file(path)? }
        }
        for folder in folders {
            fs::create_dir_all(self.path.join(folder))?;
        }
        for (path, content) in files {
            fs::write(self.path.join(path), content)?;
        }
        Ok(())
    }
}

/// Where a descriptor of a process stands.
fn stands(pid: i32, fd: i32) -> io::Result<u64> {
    let told = fs::read_to_string(format!("/proc/{pid}/fdinfo/{fd}"))?;
    let at = told.lines().find_map(|line| line.strip_prefix("pos:")?.trim().parse().ok());
    at.ok_or_else(|| io::Error::other("no place is told"))
}
