package io.bulrushrouter.routing;

import java.util.ArrayDeque;
import java.util.Iterator;

import com.dynatrace.hash4j.hashing.Hashing;

import io.bulrushrouter.kernel.UpstreamId;

/**
 * What one entry knows of one upstream: its last report, and the entry's own requests
 * since then.
 */
public final class UpstreamView {

	/** Part of a wrong prediction that is learned. */
	private static final double ERROR_GAIN = 0.25;

	/** Half-life of a learned prediction error, in nanoseconds. */
	private static final double ERROR_HALF_LIFE_NANOS = 10e9;

	private final UpstreamSpec spec;

	private final long hash;

	private final CachedPrefixTable prefixes = new CachedPrefixTable();

	private final ArrayDeque<SentRequest> inFlight = new ArrayDeque<>();

	private UpstreamState state = UpstreamState.LIVE;

	private double trafficShare = 1;

	private long incarnation;

	private long sequence = -1;

	private long measuredAtNanos = Long.MIN_VALUE / 2;

	private long reportedTokens;

	private double reportedMillisPerToken;

	private int reportedRunning;

	private long unreportedTokens;

	private int streaming;

	private double predictionErrorMillis;

	private long predictionErrorNanos;

	UpstreamView(UpstreamSpec spec) {
		this.spec = spec;
		this.hash = Hashing.komihash5_0().hashCharsToLong(spec.id().value());
	}

	/**
	 * Returns the upstream's name.
	 * @return the name
	 */
	public UpstreamId id() {
		return this.spec.id();
	}

	/**
	 * Returns the configuration.
	 * @return the configuration
	 */
	public UpstreamSpec spec() {
		return this.spec;
	}

	/**
	 * Returns whether the upstream may be given requests.
	 * @return the state
	 */
	public UpstreamState state() {
		return this.state;
	}

	/**
	 * Returns the part of its usual traffic that the upstream may get.
	 * @return 0 to 1; less than 1 while it returns from ejection
	 */
	public double trafficShare() {
		return this.trafficShare;
	}

	/**
	 * Returns this entry's requests at the upstream.
	 * @return the count
	 */
	public int inFlight() {
		return this.inFlight.size() + this.streaming;
	}

	/**
	 * Returns the prompt tokens that the last report counted as queued.
	 * @return tokens
	 */
	public long reportedTokens() {
		return this.reportedTokens;
	}

	/**
	 * Returns the prompt tokens that this entry sent and the last report can't include.
	 * @return tokens
	 */
	public long unreportedTokens() {
		return this.unreportedTokens;
	}

	/**
	 * Returns the requests in decode by the last report.
	 * @return the count
	 */
	public int reportedRunning() {
		return this.reportedRunning;
	}

	/**
	 * Returns how old the last report's figures are.
	 * @param nowNanos the time, in nanoseconds
	 * @return nanoseconds
	 */
	public long ageNanos(long nowNanos) {
		return nowNanos - this.measuredAtNanos;
	}

	/**
	 * Returns the reported prefill time a token.
	 * @param otherwise what to assume if none was reported, in milliseconds
	 * @return milliseconds
	 */
	public double millisPerToken(double otherwise) {
		return (this.reportedMillisPerToken > 0) ? this.reportedMillisPerToken : otherwise;
	}

	/**
	 * Returns how many of a prefix's tokens the upstream is thought to cache.
	 * @param prefixDigest the hash of the prefix
	 * @param nowNanos the time, in nanoseconds
	 * @return tokens
	 */
	public int cachedTokens(long prefixDigest, long nowNanos) {
		return this.prefixes.cachedTokens(prefixDigest, nowNanos);
	}

	/**
	 * Returns by how much first tokens lately came later than predicted.
	 * @param nowNanos the time, in nanoseconds
	 * @return milliseconds, at least 0; it fades with time
	 */
	public double predictionErrorMillis(long nowNanos) {
		if (this.predictionErrorMillis <= 0) {
			return 0;
		}
		double age = nowNanos - this.predictionErrorNanos;
		return this.predictionErrorMillis / (1 + age / ERROR_HALF_LIFE_NANOS);
	}

	long hash() {
		return this.hash;
	}

	void state(UpstreamState next) {
		this.state = next;
	}

	void trafficShare(double share) {
		this.trafficShare = share;
	}

	void sent(RouteQuery query, double predictedMillis, long nowNanos) {
		int uncached = query.promptTokens()
				- Math.min(query.prefixTokens(), cachedTokens(query.prefixDigest(), nowNanos));
		this.inFlight
			.add(new SentRequest(nowNanos, uncached, query.prefixDigest(), query.promptTokens(), predictedMillis));
		this.unreportedTokens += uncached;
	}

	void firstToken(RouteQuery query, long nowNanos) {
		SentRequest sent = removeSent(query);
		if (sent == null) {
			return;
		}
		this.streaming++;
		this.prefixes.add(query.prefixDigest(), query.prefixTokens(), nowNanos);
		double surprise = (nowNanos - sent.sentNanos()) / 1e6 - sent.predictedMillis();
		this.predictionErrorMillis = Math.max(0, predictionErrorMillis(nowNanos) + ERROR_GAIN * surprise);
		this.predictionErrorNanos = nowNanos;
	}

	void finished(RouteQuery query, boolean sawFirstToken) {
		if (sawFirstToken) {
			this.streaming = Math.max(0, this.streaming - 1);
		}
		else {
			removeSent(query);
		}
	}

	private SentRequest removeSent(RouteQuery query) {
		for (Iterator<SentRequest> iterator = this.inFlight.iterator(); iterator.hasNext();) {
			SentRequest sent = iterator.next();
			if (sent.prefixDigest() == query.prefixDigest() && sent.promptTokens() == query.promptTokens()) {
				iterator.remove();
				if (sent.sentNanos() > this.measuredAtNanos) {
					this.unreportedTokens -= sent.uncachedTokens();
				}
				return sent;
			}
		}
		return null;
	}

	boolean reported(LoadReport report, long nowNanos) {
		boolean sameLife = report.incarnation() == this.incarnation;
		if (sameLife && report.sequence() <= this.sequence) {
			return false;
		}
		if (!sameLife) {
			this.prefixes.clear();
			this.predictionErrorMillis = 0;
		}
		this.incarnation = report.incarnation();
		this.sequence = report.sequence();
		this.measuredAtNanos = nowNanos - report.ageNanos();
		this.reportedTokens = report.queuedTokens();
		this.reportedMillisPerToken = report.millisPerToken();
		this.reportedRunning = report.running();
		this.unreportedTokens = tokensSentAfter(this.measuredAtNanos);
		report.hints().forEach((hint) -> this.prefixes.add(hint.prefixDigest(), hint.cachedTokens(), nowNanos));
		return true;
	}

	private long tokensSentAfter(long nanos) {
		long tokens = 0;
		for (SentRequest sent : this.inFlight) {
			tokens += (sent.sentNanos() > nanos) ? sent.uncachedTokens() : 0;
		}
		return tokens;
	}

	/**
	 * A request sent whose first token has not come.
	 *
	 * @param sentNanos when it was sent
	 * @param uncachedTokens prompt tokens expected to be prefilled
	 * @param prefixDigest the hash of its prefix
	 * @param promptTokens its prompt's length
	 * @param predictedMillis the expected time to the first token
	 */
	private record SentRequest(long sentNanos, int uncachedTokens, long prefixDigest, int promptTokens,
			double predictedMillis) {
	}

}
