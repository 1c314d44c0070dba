package io.bulrushrouter.routing;

import java.util.Objects;

/**
 * The expected time to the first token at an upstream: queued prefill work, the prompt's
 * uncached tokens, the way there, the upstream's measured slowness, and how stale all of
 * this is.
 *
 * @param distance the round trip between data centres
 * @param halfWeightAgeNanos the age at which a report counts half, the mean of the
 * model's upstreams the other half, in nanoseconds
 * @param cacheMissWeight how much more the prefill of an uncached prefix counts than
 * waiting, for each request that waits at the mean upstream: it delays those, and evicts
 * other prefixes
 */
public record CostModel(DataCentreDistance distance, long halfWeightAgeNanos, double cacheMissWeight) {

	/**
	 * Checks the parts.
	 */
	public CostModel {
		Objects.requireNonNull(distance);
	}

	/**
	 * Returns the usual cost model.
	 * @return the cost model
	 */
	public static CostModel ofDefaults() {
		return new CostModel(DataCentreDistance.of(0.3, 1.0), 400_000_000L, 0.5);
	}

	/**
	 * Returns the expected time to the first token.
	 * @param view the upstream
	 * @param peers the upstreams of the model
	 * @param query the request
	 * @param nowNanos the time, in nanoseconds
	 * @return milliseconds
	 */
	public double firstTokenMillis(UpstreamView view, ModelUpstreams peers, RouteQuery query, long nowNanos) {
		return waitMillis(view, peers, query, 1, nowNanos) + prefillMillis(view, peers, query, nowNanos);
	}

	/**
	 * Returns the time to the first token, with the prefill of an uncached prefix
	 * weighted up: it delays the requests behind it and evicts other prefixes.
	 * @param view the upstream
	 * @param peers the upstreams of the model
	 * @param query the request
	 * @param weight how much more a millisecond of that prefill counts
	 * @param queueFactor the queue to assume where the report is stale, relative to the
	 * mean of the model's upstreams; 1 for the mean
	 * @param nowNanos the time, in nanoseconds
	 * @return milliseconds
	 */
	public double costMillis(UpstreamView view, ModelUpstreams peers, RouteQuery query, double weight,
			double queueFactor, long nowNanos) {
		double missed = (query.prefixTokens() - cachedTokens(view, query, nowNanos)) * millisPerToken(view, peers);
		return waitMillis(view, peers, query, queueFactor, nowNanos) + prefillMillis(view, peers, query, nowNanos)
				+ weight * missed;
	}

	private double waitMillis(UpstreamView view, ModelUpstreams peers, RouteQuery query, double queueFactor,
			long nowNanos) {
		double trust = this.halfWeightAgeNanos
				/ (double) (this.halfWeightAgeNanos + Math.max(0, view.ageNanos(nowNanos)));
		double reported = trust * view.reportedTokens() + (1 - trust) * queueFactor * peers.meanReportedTokens();
		double queued = reported + view.unreportedTokens();
		return this.distance.roundTripMillis(query.dataCentre(), view.spec().dataCentre())
				+ view.predictionErrorMillis(nowNanos) + queued * millisPerToken(view, peers);
	}

	private double prefillMillis(UpstreamView view, ModelUpstreams peers, RouteQuery query, long nowNanos) {
		return (query.promptTokens() - cachedTokens(view, query, nowNanos)) * millisPerToken(view, peers);
	}

	private static int cachedTokens(UpstreamView view, RouteQuery query, long nowNanos) {
		return Math.min(query.prefixTokens(), view.cachedTokens(query.prefixDigest(), nowNanos));
	}

	private static double millisPerToken(UpstreamView view, ModelUpstreams peers) {
		return view.millisPerToken(peers.meanMillisPerToken()) / view.spec().weight();
	}

}
