use super::*;

#[test]
fn schedule_depends_on_seed_and_rate_and_alternates_routes() {
    let requests = schedule(2, 1000.0, Duration::from_secs(10), 1);
    assert!((9_500..10_500).contains(&requests.len()), "{}", requests.len());
    assert!(requests.windows(2).all(|w| w[0].due <= w[1].due && w[0].route != w[1].route));
    let due_times =
        |seed| schedule(2, 1000.0, Duration::from_secs(1), seed).iter().map(|r| r.due).collect::<Vec<_>>();
    assert_eq!(due_times(3), due_times(3));
    assert_ne!(due_times(3), due_times(4));
}

#[test]
fn latency_includes_the_wait_behind_a_slow_response() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("bind");
    let to = listener.local_addr().expect("local address");
    // A server that accepts connections only after one second, and responds immediately from then on.
    std::thread::spawn(move || {
        std::thread::sleep(Duration::from_secs(1));
        for mut stream in listener.incoming().map_while(Result::ok) {
            std::thread::spawn(move || {
                let mut buffer = [0; 1024];
                while stream.read(&mut buffer).is_ok_and(|n| n > 0) {
                    let _ = stream.write_all(b"HTTP/1.1 200 x\r\nContent-Length: 0\r\n\r\n");
                }
            });
        }
    });
    let results = open_loop(&[Route { to }], 100.0, Duration::from_millis(800), 1).expect("load run");
    let latencies = &results[0].latencies;
    assert_eq!(results[0].not_served, 0);
    // Scheduled from 0 to 0.8 s, answered from 1 s on: no latency is under 0.15 s, and the median is about 0.6 s.
    assert!(
        latencies.min() > 150_000 && latencies.value_at_quantile(0.5) > 400_000,
        "{} {}",
        latencies.min(),
        latencies.max()
    );
}
