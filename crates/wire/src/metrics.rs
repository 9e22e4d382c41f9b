//! Metrics by OpenTelemetry, with a page for scraping.

use std::fmt;

use opentelemetry::metrics::{Meter, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};

/// The metrics of one role in this process.
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
                spdlog::error!("metrics: no page for scraping: {error}.");
                builder.build()
            }
        };
        Self { registry, provider }
    }
}

impl MetricsPage {
    /// A meter named after the role.
    pub fn meter(&self, role: &'static str) -> Meter {
        self.provider.meter(role)
    }

    /// The page, in the text format that scrapers read.
    pub fn text(&self) -> String {
        let mut bytes = Vec::new();
        let families = self.registry.gather();
        if let Err(error) = TextEncoder::new().encode(&families, &mut bytes) {
            spdlog::warn!("metrics: {error}.");
        }
        String::from_utf8(bytes).unwrap_or_default()
    }
}
