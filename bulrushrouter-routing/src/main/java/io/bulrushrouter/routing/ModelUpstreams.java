package io.bulrushrouter.routing;

import java.util.List;

/**
 * The upstreams of one model, with averages over their reports.
 */
public final class ModelUpstreams {

	/** Prefill time per token assumed before the first report, in milliseconds. */
	private static final double ASSUMED_MILLIS_PER_TOKEN = 0.1;

	private final UpstreamView[] views;

	private long reportedTokens;

	private double meanMillisPerToken;

	ModelUpstreams(List<UpstreamView> views) {
		this.views = views.toArray(new UpstreamView[0]);
		initialiseMeans();
	}

	/**
	 * Returns the number of upstreams.
	 * @return the count
	 */
	public int size() {
		return this.views.length;
	}

	/**
	 * Returns an upstream.
	 * @param index its index, from 0
	 * @return the upstream
	 */
	public UpstreamView get(int index) {
		return this.views[index];
	}

	/**
	 * Returns the mean number of queued prompt tokens by the last reports.
	 * @return tokens
	 */
	public double meanReportedTokens() {
		return (double) this.reportedTokens / this.views.length;
	}

	/**
	 * Returns the moving average of the reported prefill times per token.
	 * @return the time, in milliseconds
	 */
	public double meanMillisPerToken() {
		return this.meanMillisPerToken;
	}

	void updateMeans(long tokensBefore, UpstreamView view) {
		this.reportedTokens += view.reportedTokens() - tokensBefore;
		double previousMean = this.meanMillisPerToken;
		this.meanMillisPerToken += (view.millisPerToken(previousMean) - previousMean) / this.views.length;
	}

	private void initialiseMeans() {
		double sum = 0;
		for (UpstreamView view : this.views) {
			this.reportedTokens += view.reportedTokens();
			sum += view.millisPerToken(ASSUMED_MILLIS_PER_TOKEN);
		}
		this.meanMillisPerToken = sum / this.views.length;
	}

}
