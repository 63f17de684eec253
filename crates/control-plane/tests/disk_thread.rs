//! The thread that waits for the disk.
use notchspool_control_plane::server::disk_thread::{self, BatchWriter, WriteRequest};
use notchspool_storage::{StorageError, WriteOp};
use tokio::sync::mpsc::unbounded_channel;

/// Writes nothing, and panics at the second batch.
struct PanickingWriter {
    batches: u32,
}

impl BatchWriter for PanickingWriter {
    fn write(&mut self, _: &[WriteOp]) -> Result<(), StorageError> {
        self.batches += 1;
        assert!(self.batches < 2, "the second batch");
        Ok(())
    }
}

/// A replica whose disk thread had panicked went on without it, and waited for its disk for good.
#[test]
fn the_reports_end_where_the_thread_panics() {
    let (report, mut reports) = unbounded_channel();
    let requests = disk_thread::spawn(PanickingWriter { batches: 0 }, report).unwrap();
    requests.send(WriteRequest { id: 1, batch: Vec::new() }).unwrap();
    let first = reports.blocking_recv().unwrap();
    assert_eq!((first.id, first.written), (1, true));
    requests.send(WriteRequest { id: 2, batch: Vec::new() }).unwrap();
    assert!(reports.blocking_recv().is_none());
}
