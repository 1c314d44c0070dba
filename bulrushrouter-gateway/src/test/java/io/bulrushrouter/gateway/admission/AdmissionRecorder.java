package io.bulrushrouter.gateway.admission;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import io.bulrushrouter.kernel.OrganisationId;
import io.bulrushrouter.routing.admission.AdmissionQueue;
import io.bulrushrouter.routing.admission.PriorityClasses;
import io.bulrushrouter.routing.admission.StreamPace;
import io.bulrushrouter.routing.admission.WaitingStream;

/**
 * Offers named streams to an admission and records its decisions.
 */
final class AdmissionRecorder implements StreamAdmission.Callbacks<String> {

	private final StreamAdmission<String> admission;

	private final Map<String, WaitingStream<String>> streams = new HashMap<>();

	private final Map<String, StreamPace> paces = new HashMap<>();

	private final List<String> admitted = new ArrayList<>();

	private final List<String> refused = new ArrayList<>();

	private long nowNanos;

	AdmissionRecorder(Optional<Duration> maxEventGap, PriorityClasses classes) {
		this.admission = new StreamAdmission<>(
				new AdmissionSettings(Duration.ofMillis(400), maxEventGap, 30, 900, classes), this, (ratio) -> {
				}, 0);
	}

	StreamAdmission<String> admission() {
		return this.admission;
	}

	void advance(long millis) {
		this.nowNanos += TimeUnit.MILLISECONDS.toNanos(millis);
		this.admission.sweep(this.nowNanos);
	}

	void offer(String name, int priority, boolean returning) {
		WaitingStream<String> stream = new WaitingStream<>(name, OrganisationId.of("organisation"), priority,
				AdmissionQueue.MEAN_COST, returning, this.nowNanos, this.nowNanos + TimeUnit.MILLISECONDS.toNanos(200),
				this.nowNanos + TimeUnit.MILLISECONDS.toNanos(1_500));
		this.streams.put(name, stream);
		this.admission.offer(stream, this.nowNanos);
	}

	/**
	 * Sends an event of each admitted stream after each pass.
	 * @param count the number of passes
	 * @param passMillis the length of a pass in milliseconds
	 */
	void passes(int count, long passMillis) {
		for (int pass = 0; pass < count; pass++) {
			advance(passMillis);
			List.copyOf(this.admitted)
				.forEach((name) -> this.admission.events(this.paces.computeIfAbsent(name, (key) -> new StreamPace()), 1,
						this.nowNanos));
		}
	}

	int waiting() {
		return this.admission.state(0).waiting();
	}

	boolean withdraw(String name) {
		return this.admission.withdraw(this.streams.get(name));
	}

	void end(String name) {
		this.admitted.remove(name);
		this.admission.ended(this.streams.get(name), this.paces.getOrDefault(name, new StreamPace()), this.nowNanos);
	}

	List<String> admitted() {
		return this.admitted;
	}

	List<String> refused() {
		return this.refused;
	}

	@Override
	public void admitted(String stream) {
		this.admitted.add(stream);
	}

	@Override
	public void refused(String stream) {
		this.refused.add(stream);
	}

}
