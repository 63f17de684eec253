//! A process whose essential task panics ends, for a new start. The test starts itself again for the process that ends.
use std::process::Command;
use std::time::Duration;

use notchspool_runtime::tasks::spawn_essential;

const CHILD_VARIABLE: &str = "NOTCHSPOOL_TEST_PANICS";
/// The process that does not end would go on for this long.
const LONG: Duration = Duration::from_secs(30);

#[test]
fn a_process_ends_where_an_essential_task_panics_and_goes_on_where_one_ends() {
    if let Some(panics) = std::env::var_os(CHILD_VARIABLE) {
        return run_child(panics == "yes");
    }
    let run = |panics: &str| {
        let this_test = "a_process_ends_where_an_essential_task_panics_and_goes_on_where_one_ends";
        let child = Command::new(std::env::current_exe().unwrap())
            .args(["--exact", this_test])
            .env(CHILD_VARIABLE, panics)
            .output()
            .unwrap();
        child.status.code()
    };
    assert_eq!(run("yes"), Some(1));
    assert_eq!(run("no"), Some(0));
}

fn run_child(panics: bool) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let task = spawn_essential("the test's task", async move { assert!(!panics, "by the test") });
        if panics {
            tokio::time::sleep(LONG).await;
            std::process::exit(2);
        }
        task.await.unwrap();
    });
}
