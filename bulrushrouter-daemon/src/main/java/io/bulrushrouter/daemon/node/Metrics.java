package io.bulrushrouter.daemon.node;

import java.util.function.Supplier;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.Timer;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;

/**
 * Metrics of a process, exported in the Prometheus text format at {@code /metrics}.
 */
public final class Metrics {

	/** The path that Prometheus scrapes. */
	public static final String PATH = "/metrics";

	private static final String PREFIX = "bulrush.";

	private final PrometheusMeterRegistry registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);

	/**
	 * Returns a counter.
	 * @param name the metric, without the common prefix
	 * @param tags alternating keys and values
	 * @return the counter
	 */
	public Counter counter(String name, String... tags) {
		return this.registry.counter(PREFIX + name, tags);
	}

	/**
	 * Returns a timer that publishes the 50th, 95th and 99th percentile.
	 * @param name the metric, without the common prefix
	 * @param tags alternating keys and values
	 * @return the timer
	 */
	public Timer timer(String name, String... tags) {
		return Timer.builder(PREFIX + name).tags(tags).publishPercentiles(0.5, 0.95, 0.99).register(this.registry);
	}

	/**
	 * Registers a gauge that is read on each scrape.
	 * @param name the metric, without the common prefix
	 * @param value supplies the value
	 */
	public void gauge(String name, Supplier<Number> value) {
		Gauge.builder(PREFIX + name, value).register(this.registry);
	}

	/**
	 * Returns all metrics in the Prometheus text format.
	 * @return the text
	 */
	public String text() {
		return this.registry.scrape();
	}

}
