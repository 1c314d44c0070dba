package io.bulrushrouter.routing;

import java.util.List;

/**
 * The upstreams of one model, with means over them.
 */
public final class ModelUpstreams {

	/** Assumed prefill time a token before any report, in milliseconds. */
	private static final double ASSUMED_MILLIS_PER_TOKEN = 0.1;

	private final UpstreamView[] views;

	private long reportedTokens;

	private double meanMillisPerToken;

	ModelUpstreams(List<UpstreamView> views) {
		this.views = views.toArray(new UpstreamView[0]);
		initialiseMeans();
	}

	/**
	 * Returns how many upstreams there are.
	 * @return the count
	 */
	public int size() {
		return this.views.length;
	}

	/**
	 * Returns an upstream.
	 * @param index from 0
	 * @return the upstream
	 */
	public UpstreamView get(int index) {
		return this.views[index];
	}

	/**
	 * Returns the mean of queued prompt tokens over the last reports.
	 * @return tokens
	 */
	public double meanReportedTokens() {
		return (double) this.reportedTokens / this.views.length;
	}

	/**
	 * Returns the mean of prefill times a token over the last reports.
	 * @return milliseconds
	 */
	public double meanMillisPerToken() {
		return this.meanMillisPerToken;
	}

	void updateMeans(long tokensBefore, UpstreamView view) {
		this.reportedTokens += view.reportedTokens() - tokensBefore;
		double known = this.meanMillisPerToken;
		this.meanMillisPerToken += (view.millisPerToken(known) - known) / this.views.length;
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
