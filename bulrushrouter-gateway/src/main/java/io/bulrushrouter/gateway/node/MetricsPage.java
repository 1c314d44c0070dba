package io.bulrushrouter.gateway.node;

import java.util.List;
import java.util.Map;
import java.util.function.Supplier;

import io.micrometer.core.instrument.MultiGauge;
import io.micrometer.core.instrument.Tags;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;

/**
 * The page with all metrics. The gauges of single upstreams are read only when the page
 * is.
 */
final class MetricsPage {

	private final PrometheusMeterRegistry registry;

	private final Supplier<Map<String, Double>> capacities;

	private MultiGauge capacityGauges;

	/**
	 * Creates the page.
	 * @param registry the registry of the other metrics
	 * @param capacities returns the learned capacity of each upstream
	 */
	MetricsPage(PrometheusMeterRegistry registry, Supplier<Map<String, Double>> capacities) {
		this.registry = registry;
		this.capacities = capacities;
	}

	StatusServer.Page page() {
		if (this.capacityGauges == null) {
			this.capacityGauges = MultiGauge.builder("bulrush.gateway.upstream.capacity")
				.description("Learned capacity of an upstream, 1 at the mean of its service")
				.register(this.registry);
		}
		List<MultiGauge.Row<?>> rows = this.capacities.get()
			.entrySet()
			.stream().<MultiGauge
					.Row<?>>map((entry) -> MultiGauge.Row.of(Tags.of("upstream", entry.getKey()), entry.getValue()))
			.toList();
		this.capacityGauges.register(rows, true);
		return new StatusServer.Page(200, this.registry.scrape());
	}

}
