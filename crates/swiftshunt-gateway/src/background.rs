//! Background tasks, without which the gateway must not go on.

use std::process;
use std::thread;
use std::time::Duration;

use tokio::task::JoinHandle;

/// Time in which the buffered log lines are written before the process ends.
const FLUSH_TIME: Duration = Duration::from_millis(250);

/// Spawns a background task. If it panics, the process ends: it would otherwise keep its leases while, for example,
/// nothing writes its results. Another gateway then takes over what this one held.
pub(crate) fn spawn<Task>(task: Task) -> JoinHandle<()>
where
    Task: Future<Output = ()> + Send + 'static,
{
    tokio::spawn(async move {
        let _guard = EndOnPanic;
        task.await;
    })
}

struct EndOnPanic;

impl Drop for EndOnPanic {
    fn drop(&mut self) {
        if thread::panicking() {
            log::error!("a background task panicked; this process ends");
            thread::sleep(FLUSH_TIME);
            process::abort();
        }
    }
}

#[cfg(test)]
mod tests {
    use std::process::Command;

    use super::*;

    const PANICS: &str = "SWIFTSHUNT_TEST_PANICS";

    #[tokio::test]
    async fn a_process_does_not_go_on_without_a_background_task_that_panicked() {
        if std::env::var_os(PANICS).is_some() {
            return drop(spawn(async { panic!("broken") }).await);
        }
        let program = std::env::current_exe().expect("the program is unknown");
        let test =
            "background::tests::a_process_does_not_go_on_without_a_background_task_that_panicked";
        let process = Command::new(program)
            .args(["--exact", test, "--nocapture"])
            .env(PANICS, "1")
            .output()
            .expect("the process did not start");
        assert!(!process.status.success(), "the process went on");
        let text = String::from_utf8_lossy(&process.stderr);
        assert!(text.contains("broken"), "{text}");
    }
}
