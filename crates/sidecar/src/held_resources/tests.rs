use super::*;
use crate::memory_budget::MemoryBudget;

#[tokio::test]
async fn gauges_follow_reservations() {
    set_memory_limit(32);
    let budget = MemoryBudget::new(1 << 20, Held::RequestMemory);
    let mut first = budget.reserve(100 << 10).await;
    let second = budget.try_reserve(50 << 10).expect("there is room");
    assert_eq!(Held::RequestMemory.amount(), 150);
    budget.shrink(&mut first, 30 << 10);
    assert_eq!(Held::RequestMemory.amount(), 80);
    let mut text = String::new();
    write_all(&mut text);
    assert!(text.contains("lotusmoor_sidecar_held{what=\"request_memory_kib\"} 80\n"), "{text}");
    assert!(text.contains("lotusmoor_sidecar_memory_kib{what=\"limit\"} 32768\n"), "{text}");
    assert!(!text.contains("{what=\"resident\"} 0\n"), "{text}");
    drop((first, second));
    assert_eq!(Held::RequestMemory.amount(), 0);
}
