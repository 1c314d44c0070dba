package io.bulrushrouter.gateway.node;

import java.util.HashMap;
import java.util.Map;

import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * The page with all metrics.
 */
class MetricsPageTests {

	// Guards against gauges that keep an old value or outlive their upstream.
	@Test
	void showsTheCapacityOfTheUpstreamsThatThereAre() {
		Map<String, Double> capacities = new HashMap<>(Map.of("up-a", 0.25));
		MetricsPage page = new MetricsPage(new PrometheusMeterRegistry(PrometheusConfig.DEFAULT), () -> capacities);
		assertThat(page.page().text()).contains("bulrush_gateway_upstream_capacity{upstream=\"up-a\"} 0.25");
		capacities.put("up-a", 0.5);
		assertThat(page.page().text()).contains("bulrush_gateway_upstream_capacity{upstream=\"up-a\"} 0.5");
		capacities.clear();
		assertThat(page.page().text()).doesNotContain("up-a");
	}

}
