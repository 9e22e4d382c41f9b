//! CPU time of the decisions of one request, by number of endpoints.

use chestnutloft_bench::capacity::{route_request, router_with_endpoints, sample_request};
use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};

fn decisions(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("decisions of one request");
    for endpoints in [20, 200, 440, 4_400] {
        let mut router = router_with_endpoints(endpoints);
        let requests: Vec<_> = (0..60).map(sample_request).collect();
        let mut number = 0;
        group.bench_function(BenchmarkId::from_parameter(endpoints), |bencher| {
            bencher.iter(|| {
                number += 1;
                route_request(&mut router, &requests[number % requests.len()]);
            });
        });
    }
    group.finish();
}

criterion_group!(benches, decisions);
criterion_main!(benches);
