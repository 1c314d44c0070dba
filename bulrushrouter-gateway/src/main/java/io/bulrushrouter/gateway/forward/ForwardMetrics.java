package io.bulrushrouter.gateway.forward;

import java.time.Duration;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Timer;

/**
 * Counters and timers for the forwarding of requests.
 */
public final class ForwardMetrics {

	private static final String PREFIX = "bulrush.gateway.";

	/** Bucket bounds of the timers, around the objectives and deadlines in use. */
	private static final Duration[] LATENCY_BUCKETS = { Duration.ofMillis(25), Duration.ofMillis(50),
			Duration.ofMillis(100), Duration.ofMillis(200), Duration.ofMillis(400), Duration.ofMillis(800),
			Duration.ofMillis(1_600), Duration.ofMillis(3_200), Duration.ofMillis(8_000) };

	private final MeterRegistry registry;

	private final Counter upstreamConnects;

	private final Timer firstByte;

	private final Timer completeResponse;

	/**
	 * Creates and registers the meters.
	 * @param registry the registry
	 */
	public ForwardMetrics(MeterRegistry registry) {
		this.registry = registry;
		this.upstreamConnects = registry.counter(PREFIX + "upstream.connects");
		this.firstByte = timer("first.byte");
		this.completeResponse = timer("answer");
	}

	private Timer timer(String name) {
		return Timer.builder(PREFIX + name).serviceLevelObjectives(LATENCY_BUCKETS).register(this.registry);
	}

	/**
	 * Registers the meters for the admission to a service.
	 * @param service the service
	 * @return the meters
	 */
	AdmissionMetrics admission(String service) {
		return new AdmissionMetrics(this.registry, PREFIX + "admission.", service);
	}

	Counter upstreamConnects() {
		return this.upstreamConnects;
	}

	Timer firstByte() {
		return this.firstByte;
	}

	Timer completeResponse() {
		return this.completeResponse;
	}

	void countResponse(int status, String reason) {
		this.registry.counter(PREFIX + "answers", "status", Integer.toString(status), "reason", reason).increment();
	}

	void countMalformedResponse(String reason) {
		this.registry.counter(PREFIX + "malformed.responses", "reason", reason).increment();
	}

	void countRejectedResponse(String reason) {
		this.registry.counter(PREFIX + "rejected.responses", "reason", reason).increment();
	}

	void countColdWait(String outcome) {
		this.registry.counter(PREFIX + "cold.waits", "outcome", outcome).increment();
	}

	void countAttempt(String outcome) {
		this.registry.counter(PREFIX + "attempts", "outcome", outcome).increment();
	}

}
