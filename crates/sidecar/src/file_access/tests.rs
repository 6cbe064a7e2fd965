use super::*;
use std::sync::{Mutex, PoisonError};
use std::time::Instant;

/// How long operations hang, which is longer than their callers wait.
const HANG: Duration = Duration::from_millis(300);
const LIMIT: Duration = Duration::from_millis(50);

/// Threads are counted per process, so the tests that use them run one at a time.
static TEST_LOCK: Mutex<()> = Mutex::new(());

fn wait_for_threads() {
    let until = Instant::now() + 20 * HANG;
    while RUNNING_THREADS.load(Ordering::SeqCst) > 0 {
        assert!(Instant::now() < until, "threads still hang");
        thread::sleep(RESOURCE_PAUSE);
    }
}

fn block_on<T>(future: impl Future<Output = T>) -> T {
    let _guard = TEST_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let result = runtime.block_on(future);
    wait_for_threads();
    result
}

#[test]
fn operation_that_hangs_before_its_effect_is_abandoned() {
    let took_effect = block_on(async {
        let (report, reported) = std::sync::mpsc::channel();
        let began = Instant::now();
        let hanging = run(LIMIT, move |commit| {
            thread::sleep(HANG);
            let begun = commit.begin();
            let _ = report.send(begun.is_ok());
            begun
        });
        let error = hanging.await.expect_err("it times out");
        assert_eq!(
            (error.kind(), error.to_string().as_str()),
            (io::ErrorKind::TimedOut, "file operation timed out")
        );
        assert!(began.elapsed() < HANG);
        tokio::task::spawn_blocking(move || reported.recv()).await.expect("no panic")
    });
    assert_eq!(took_effect, Ok(false));
}

#[test]
fn timeout_after_commit_reports_that_operation_may_take_effect() {
    let error = block_on(run(LIMIT, |commit| {
        commit.begin()?;
        thread::sleep(HANG);
        Ok(())
    }));
    let error = error.expect_err("it times out");
    assert!(error.to_string().contains("may still take effect"), "{error}");
}

#[test]
fn starts_no_more_threads_while_some_hang() {
    block_on(async {
        let hang = || {
            run(LIMIT, |_| {
                thread::sleep(HANG);
                Ok(())
            })
        };
        let (one, two, three, four) = tokio::join!(hang(), hang(), hang(), hang());
        assert!([one, two, three, four].iter().all(Result::is_err));
        let error = hang().await.expect_err("too many hang");
        assert!(error.to_string().contains("earlier file operations"), "{error}");
    });
    // The threads have ended by now.
    assert!(block_on(run(HANG, |_| Ok(()))).is_ok());
}

#[test]
fn reads_existing_file_and_reports_missing_one() {
    let path = std::env::temp_dir().join(format!("lotusmoor-file-access-{}", std::process::id()));
    let contents = vec![b'x'; 100_000];
    fs::write(&path, &contents).expect("a file");
    let read = block_on(read(&path, HANG));
    assert!(read_at_startup(&path, HANG).expect("the file exists") == contents);
    fs::remove_file(&path).expect("the file exists");
    assert!(read.expect("the file exists") == contents);
    assert_eq!(block_on(super::read(&path, HANG)).map_err(|e| e.kind()), Err(io::ErrorKind::NotFound));
}
