//! Tasks without which a process is of no use.
use tokio::task::JoinHandle;

/// What a process exits with after such a task has panicked.
const PANIC_EXIT_CODE: i32 = 1;

/// Ends the process where its task panics.
struct EndProcessOnPanic(&'static str);

impl Drop for EndProcessOnPanic {
    fn drop(&mut self) {
        if std::thread::panicking() {
            log::error!(target: "process", "ends: {} has panicked", self.0);
            log::logger().flush();
            std::process::exit(PANIC_EXIT_CODE);
        }
    }
}

/// Spawns a task on the local set, and ends the process where it panics: state that it was about to change may be half changed, and nothing
/// would be done any more what it does. The platform starts the process again. `name`: what the task does, for the log.
pub fn spawn_essential(name: &'static str, task: impl Future<Output = ()> + 'static) -> JoinHandle<()> {
    tokio::task::spawn_local(async move {
        let _end_on_panic = EndProcessOnPanic(name);
        task.await;
    })
}
