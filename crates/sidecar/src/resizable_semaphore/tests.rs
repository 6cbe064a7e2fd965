use super::*;

#[test]
fn shrinks_as_permits_become_free() {
    let semaphore = ResizableSemaphore::new(10);
    let in_use = semaphore.semaphore().try_acquire_many_owned(7).expect("all are free");
    semaphore.resize(4);
    assert_eq!((semaphore.total(), semaphore.semaphore().available_permits()), (7, 0));
    drop(in_use);
    assert_eq!(semaphore.semaphore().available_permits(), 7);
    semaphore.resize(4);
    assert_eq!((semaphore.total(), semaphore.semaphore().available_permits()), (4, 4));
    semaphore.resize(10);
    assert_eq!((semaphore.total(), semaphore.semaphore().available_permits()), (10, 10));
}
