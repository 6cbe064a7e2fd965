//! Tokio as openraft's runtime, with a random generator that can be seeded: openraft draws its election timeouts from
//! it.

use openraft::{AsyncRuntime, TokioRuntime};
use rand_08::rngs::StdRng;
use rand_08::{Error, RngCore, SeedableRng};
use std::cell::RefCell;
use std::future::Future;
use std::time::Duration;

thread_local! {
    static RNG: RefCell<Option<StdRng>> = const { RefCell::new(None) };
}

/// Seeds the generator of the current thread.
pub fn seed(seed: u64) {
    RNG.with_borrow_mut(|rng| *rng = Some(StdRng::seed_from_u64(seed)));
}

/// The generator of the current thread: the seeded one after a call of [`seed`], otherwise rand's own.
pub struct ThreadRng;

impl RngCore for ThreadRng {
    fn next_u32(&mut self) -> u32 {
        self.next_u64() as u32
    }
    fn next_u64(&mut self) -> u64 {
        RNG.with_borrow_mut(|rng| match rng {
            Some(rng) => rng.next_u64(),
            None => rand_08::thread_rng().next_u64(),
        })
    }
    fn fill_bytes(&mut self, bytes: &mut [u8]) {
        for chunk in bytes.chunks_mut(8) {
            let random = self.next_u64().to_le_bytes();
            chunk.copy_from_slice(&random[..chunk.len()]);
        }
    }
    fn try_fill_bytes(&mut self, bytes: &mut [u8]) -> Result<(), Error> {
        self.fill_bytes(bytes);
        Ok(())
    }
}

/// Tokio with [`ThreadRng`].
#[derive(Debug, Default, PartialEq, Eq)]
pub struct SeededRuntime;

impl AsyncRuntime for SeededRuntime {
    type JoinError = <TokioRuntime as AsyncRuntime>::JoinError;
    type JoinHandle<T: Send + 'static> = <TokioRuntime as AsyncRuntime>::JoinHandle<T>;
    type Sleep = <TokioRuntime as AsyncRuntime>::Sleep;
    type Instant = <TokioRuntime as AsyncRuntime>::Instant;
    type TimeoutError = <TokioRuntime as AsyncRuntime>::TimeoutError;
    type Timeout<R, T: Future<Output = R> + Send> = <TokioRuntime as AsyncRuntime>::Timeout<R, T>;
    type ThreadLocalRng = ThreadRng;
    type OneshotSender<T: Send> = <TokioRuntime as AsyncRuntime>::OneshotSender<T>;
    type OneshotReceiver<T: Send> = <TokioRuntime as AsyncRuntime>::OneshotReceiver<T>;
    type OneshotReceiverError = <TokioRuntime as AsyncRuntime>::OneshotReceiverError;

    fn spawn<T>(future: T) -> Self::JoinHandle<T::Output>
    where
        T: Future + Send + 'static,
        T::Output: Send + 'static,
    {
        TokioRuntime::spawn(future)
    }

    fn sleep(duration: Duration) -> Self::Sleep {
        TokioRuntime::sleep(duration)
    }

    fn sleep_until(deadline: Self::Instant) -> Self::Sleep {
        TokioRuntime::sleep_until(deadline)
    }

    fn timeout<R, F: Future<Output = R> + Send>(duration: Duration, future: F) -> Self::Timeout<R, F> {
        TokioRuntime::timeout(duration, future)
    }

    fn timeout_at<R, F: Future<Output = R> + Send>(
        deadline: Self::Instant,
        future: F,
    ) -> Self::Timeout<R, F> {
        TokioRuntime::timeout_at(deadline, future)
    }

    fn is_panic(error: &Self::JoinError) -> bool {
        TokioRuntime::is_panic(error)
    }

    fn thread_rng() -> ThreadRng {
        ThreadRng
    }

    fn oneshot<T: Send>() -> (Self::OneshotSender<T>, Self::OneshotReceiver<T>) {
        TokioRuntime::oneshot()
    }
}
