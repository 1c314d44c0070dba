package io.bulrushrouter.routing;

import java.util.Objects;

/**
 * Estimates the time to the first token at an upstream from queued prefill work, the
 * prompt's uncached tokens, the round trip, the upstream's recent prediction error and
 * the age of its report.
 *
 * @param distance the round trips between data centres
 * @param halfWeightAgeNanos the age at which a report's queue and the mean queue of the
 * model's upstreams count half each, in nanoseconds
 * @param cacheMissWeight how much more the prefill of an uncached prefix counts than
 * waiting, for each request that waits at the mean upstream: the prefill delays these
 * requests and evicts other prefixes
 */
public record CostModel(DataCentreDistance distance, long halfWeightAgeNanos, double cacheMissWeight) {

	/**
	 * Creates the cost model.
	 */
	public CostModel {
		Objects.requireNonNull(distance);
	}

	/**
	 * Returns the default cost model.
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
	 * @return the time, in milliseconds
	 */
	public double firstTokenMillis(UpstreamView view, ModelUpstreams peers, RouteQuery query, long nowNanos) {
		return waitMillis(view, peers, query, 1, nowNanos) + prefillMillis(view, peers, query, nowNanos);
	}

	/**
	 * Returns the expected time to the first token, with extra weight on the prefill of
	 * an uncached prefix, because that prefill delays the requests behind it and evicts
	 * other prefixes.
	 * @param view the upstream
	 * @param peers the upstreams of the model
	 * @param query the request
	 * @param missWeight the extra cost of a millisecond of that prefill, in milliseconds
	 * @param queueFactor the queue to assume where the report is stale, relative to the
	 * mean queue of the model's upstreams
	 * @param nowNanos the time, in nanoseconds
	 * @return the time, in milliseconds
	 */
	public double costMillis(UpstreamView view, ModelUpstreams peers, RouteQuery query, double missWeight,
			double queueFactor, long nowNanos) {
		double missMillis = (query.prefixTokens() - cachedTokens(view, query, nowNanos)) * millisPerToken(view, peers);
		return waitMillis(view, peers, query, queueFactor, nowNanos) + prefillMillis(view, peers, query, nowNanos)
				+ missWeight * missMillis;
	}

	private double waitMillis(UpstreamView view, ModelUpstreams peers, RouteQuery query, double queueFactor,
			long nowNanos) {
		double reportWeight = this.halfWeightAgeNanos
				/ (double) (this.halfWeightAgeNanos + Math.max(0, view.ageNanos(nowNanos)));
		double reported = reportWeight * view.reportedTokens()
				+ (1 - reportWeight) * queueFactor * peers.meanReportedTokens();
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
