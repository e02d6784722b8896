//! Writes to the data folder on a dedicated thread, with group commit.

use std::sync::Arc;
use std::sync::mpsc::{Receiver, Sender, channel};

use actix::{Message, Recipient};
use kingcuplift_quorum::{DiskFolder, Record, Store, StoreError, WriteSeq};
use kingcuplift_schema::quorum::Snapshot;

/// Maximum number of further writes that share a sync with the first one.
const MAX_BATCH: usize = 1_024;

/// A write to the data folder.
#[derive(Debug)]
pub(crate) struct Job {
    pub(crate) seq: WriteSeq,
    pub(crate) record: Record,
    pub(crate) snapshot: Option<Arc<Snapshot>>,
}

/// Reports the number of the last synced write, or a storage failure.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub(crate) struct Written(pub(crate) Result<WriteSeq, StoreError>);

/// Starts the storage thread; it exits when the sender is dropped or a write fails.
pub(crate) fn start(store: Store<DiskFolder>, reply: Recipient<Written>) -> Sender<Job> {
    let (sender, receiver) = channel();
    let run = move || write_jobs(store, &receiver, &reply);
    let thread = std::thread::Builder::new().name("storage".to_owned()).spawn(run);
    assert!(thread.is_ok(), "failed to spawn the storage thread");
    sender
}

fn write_jobs(mut store: Store<DiskFolder>, jobs: &Receiver<Job>, reply: &Recipient<Written>) {
    while let Ok(first) = jobs.recv() {
        let mut batch = vec![first];
        batch.extend(jobs.try_iter().take(MAX_BATCH));
        let written = write_batch(&mut store, &batch);
        let failed = written.is_err();
        reply.do_send(Written(written));
        if failed {
            return;
        }
    }
}

fn write_batch(store: &mut Store<DiskFolder>, batch: &[Job]) -> Result<WriteSeq, StoreError> {
    let mut records: Vec<Record> = Vec::with_capacity(batch.len());
    for job in batch {
        if let Some(snapshot) = &job.snapshot {
            save_records(store, &mut records)?;
            store.save_snapshot(snapshot)?;
        }
        records.push(job.record.clone());
    }
    save_records(store, &mut records)?;
    Ok(batch.last().map_or(0, |job| job.seq))
}

fn save_records(
    store: &mut Store<DiskFolder>,
    records: &mut Vec<Record>,
) -> Result<(), StoreError> {
    records.retain(|record| record.hard_state.is_some() || !record.entries.is_empty());
    if !records.is_empty() {
        store.save(records)?;
        records.clear();
    }
    Ok(())
}
