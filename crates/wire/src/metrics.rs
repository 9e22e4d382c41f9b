//! OpenTelemetry metrics, exported in the Prometheus text format.

use std::fmt;

use opentelemetry::metrics::{Meter, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};

/// Registry and exporter of the metrics of one role, entry or keeper, in this process.
#[derive(Clone)]
pub struct MetricsPage {
    registry: Registry,
    provider: SdkMeterProvider,
}

impl fmt::Debug for MetricsPage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("MetricsPage")
    }
}

impl Default for MetricsPage {
    fn default() -> Self {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .without_target_info()
            .build();
        let builder = SdkMeterProvider::builder();
        let provider = match exporter {
            Ok(exporter) => builder.with_reader(exporter).build(),
            Err(error) => {
                spdlog::error!(
                    "metrics: could not create the Prometheus exporter; no metrics are \
                     exported: {error}."
                );
                builder.build()
            }
        };
        Self { registry, provider }
    }
}

impl MetricsPage {
    /// Creates a meter named after the role.
    pub fn meter(&self, role: &'static str) -> Meter {
        self.provider.meter(role)
    }

    /// Renders all metrics in the Prometheus text format.
    pub fn text(&self) -> String {
        let mut bytes = Vec::new();
        let families = self.registry.gather();
        if let Err(error) = TextEncoder::new().encode(&families, &mut bytes) {
            spdlog::warn!("metrics: could not encode the metrics: {error}.");
        }
        String::from_utf8(bytes).unwrap_or_default()
    }
}
