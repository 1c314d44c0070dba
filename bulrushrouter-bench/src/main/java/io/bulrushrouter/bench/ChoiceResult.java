package io.bulrushrouter.bench;

import org.HdrHistogram.Histogram;

/**
 * The figures of one strategy in one scenario.
 *
 * @param firstTokenMicros the times to first token, in microseconds
 * @param busyRatio the fraction of the time that upstreams spent on prefill, 0 to 1
 * @param hitRatio the fraction of prompts whose prefix was cached, 0 to 1
 * @param probesPerRequest the mean number of probes sent per request
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
