package io.bulrushrouter.bench;

import org.HdrHistogram.Histogram;

/**
 * What one way of choosing did in one scenario.
 *
 * @param firstTokenMicros time to first token, in microseconds
 * @param busyRatio the part of the time that upstreams prefilled, 0 to 1
 * @param hitRatio the part of prompts whose prefix was cached, 0 to 1
 * @param probesPerRequest probes sent a request
 */
record ChoiceResult(Histogram firstTokenMicros, double busyRatio, double hitRatio, double probesPerRequest) {

	double p50Millis() {
		return this.firstTokenMicros.getValueAtPercentile(50) / 1000.0;
	}

	double p95Millis() {
		return this.firstTokenMicros.getValueAtPercentile(95) / 1000.0;
	}

	double p99Millis() {
		return this.firstTokenMicros.getValueAtPercentile(99) / 1000.0;
	}

	double meanMillis() {
		return this.firstTokenMicros.getMean() / 1000.0;
	}

}
