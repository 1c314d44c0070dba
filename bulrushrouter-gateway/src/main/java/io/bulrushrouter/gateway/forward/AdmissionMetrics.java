package io.bulrushrouter.gateway.forward;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

import io.micrometer.core.instrument.DistributionSummary;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Timer;

/**
 * Meters for the admission to one service, for each priority class. Meters are looked up
 * once, since each event loop records many streams.
 */
final class AdmissionMetrics {

	/** Bucket bounds of the waiting times, around the objectives in use. */
	private static final Duration[] WAIT_BUCKETS = { Duration.ofMillis(10), Duration.ofMillis(50),
			Duration.ofMillis(100), Duration.ofMillis(200), Duration.ofMillis(400), Duration.ofMillis(1_000),
			Duration.ofMillis(2_000) };

	/** Bucket bounds of observed intervals as a ratio of the predicted ones. */
	private static final double[] RATIO_BUCKETS = { 0.5, 0.7, 0.8, 0.9, 0.95, 1.05, 1.1, 1.25, 1.5, 2 };

	private final MeterRegistry registry;

	private final String prefix;

	private final String service;

	private final DistributionSummary predictionRatio;

	private final List<Timer> admitted = new ArrayList<>();

	private final List<Timer> refused = new ArrayList<>();

	AdmissionMetrics(MeterRegistry registry, String prefix, String service) {
		this.registry = registry;
		this.prefix = prefix;
		this.service = service;
		this.predictionRatio = DistributionSummary.builder(prefix + "prediction.ratio")
			.tag("service", service)
			.serviceLevelObjectives(RATIO_BUCKETS)
			.register(registry);
	}

	void predictionRatio(double ratio) {
		this.predictionRatio.record(ratio);
	}

	void admitted(int index, long waitNanos) {
		timer(this.admitted, "admitted", index).record(waitNanos, TimeUnit.NANOSECONDS);
	}

	void refused(int index, long waitNanos) {
		timer(this.refused, "refused", index).record(waitNanos, TimeUnit.NANOSECONDS);
	}

	private Timer timer(List<Timer> timers, String name, int index) {
		while (timers.size() <= index) {
			timers.add(Timer.builder(this.prefix + name)
				.tag("service", this.service)
				.tag("class", Integer.toString(timers.size()))
				.serviceLevelObjectives(WAIT_BUCKETS)
				.register(this.registry));
		}
		return timers.get(index);
	}

}
