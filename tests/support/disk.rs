//! A disk of one's own making: it notes every step, loses what was not synced, tears it, and fails when told to.

use rand_core::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use redb::StorageBackend;
use std::io;
use std::sync::{Arc, Mutex, MutexGuard};

/// What was done to a disk.
#[derive(Clone, Debug)]
pub enum Step {
    Write(u64, Vec<u8>),
    Length(u64),
    Sync,
}

#[derive(Debug, Default)]
struct Inner {
    bytes: Vec<u8>,
    steps: Vec<Step>,
    writes_fail: bool,
    syncs_fail: bool,
}

#[derive(Clone, Debug, Default)]
pub struct Disk(Arc<Mutex<Inner>>);

/// Sectors are written whole or not at all.
const SECTOR: usize = 512;

impl Disk {
    pub fn of(bytes: Vec<u8>) -> Disk {
        Disk(Arc::new(Mutex::new(Inner { bytes, ..Inner::default() })))
    }

    /// What is left of these steps after a cut: of what was not synced, each write whole, in part or not at all.
    pub fn after_cut(steps: &[Step], seed: u64) -> Disk {
        let synced = steps.iter().rposition(|step| matches!(step, Step::Sync)).map_or(0, |at| at + 1);
        let (mut bytes, mut draws) = (Vec::new(), Pcg32::seed_from_u64(seed));
        for (number, step) in steps.iter().enumerate() {
            match step {
                // A file that has not become shorter on the disk still ends where it did.
                Step::Length(length) => {
                    bytes.resize((*length as usize).max(if number < synced { 0 } else { bytes.len() }), 0)
                }
                Step::Write(at, data) => {
                    for (k, sector) in data.chunks(SECTOR).enumerate() {
                        let written = number < synced || draws.next_u32() % 2 == 0;
                        let from = *at as usize + k * SECTOR;
                        if written && from + sector.len() <= bytes.len() {
                            bytes[from..from + sector.len()].copy_from_slice(sector);
                        }
                    }
                }
                Step::Sync => {}
            }
        }
        Disk::of(bytes)
    }

    pub fn steps(&self) -> Vec<Step> {
        self.inner().steps.clone()
    }

    pub fn bytes(&self) -> Vec<u8> {
        self.inner().bytes.clone()
    }

    /// From now on such steps fail.
    pub fn fail(&self, step: &Step) {
        let mut inner = self.inner();
        inner.writes_fail = matches!(step, Step::Write(..));
        inner.syncs_fail = matches!(step, Step::Sync);
    }

    pub fn mend(&self) {
        let mut inner = self.inner();
        (inner.writes_fail, inner.syncs_fail) = (false, false);
    }

    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.0.lock().unwrap()
    }
}

fn broken(fails: bool) -> io::Result<()> {
    if fails { Err(io::Error::other("the disk is broken")) } else { Ok(()) }
}

impl StorageBackend for Disk {
    fn len(&self) -> io::Result<u64> {
        Ok(self.inner().bytes.len() as u64)
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> io::Result<()> {
        let inner = self.inner();
        let at = offset as usize;
        let there = inner.bytes.get(at..at + out.len()).ok_or(io::ErrorKind::UnexpectedEof)?;
        out.copy_from_slice(there);
        Ok(())
    }

    fn set_len(&self, len: u64) -> io::Result<()> {
        let mut inner = self.inner();
        broken(inner.writes_fail)?;
        inner.bytes.resize(len as usize, 0);
        inner.steps.push(Step::Length(len));
        Ok(())
    }

    fn sync_data(&self) -> io::Result<()> {
        let mut inner = self.inner();
        broken(inner.syncs_fail)?;
        inner.steps.push(Step::Sync);
        Ok(())
    }

    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        let mut inner = self.inner();
        broken(inner.writes_fail)?;
        inner.bytes[offset as usize..offset as usize + data.len()].copy_from_slice(data);
        inner.steps.push(Step::Write(offset, data.to_vec()));
        Ok(())
    }
}
