package io.bulrushrouter.routing;

import java.util.ArrayDeque;
import java.util.Iterator;

import com.dynatrace.hash4j.hashing.Hashing;

import io.bulrushrouter.kernel.UpstreamId;

/**
 * The state of one upstream as one entry sees it: the upstream's last report, and the
 * entry's own requests since then.
 */
public final class UpstreamView {

	/** Smoothing factor of the prediction error, 0 to 1. */
	private static final double ERROR_GAIN = 0.25;

	/** Time in which the prediction error falls to half, in nanoseconds. */
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
	 * Returns whether the upstream may get new requests.
	 * @return the state
	 */
	public UpstreamState state() {
		return this.state;
	}

	/**
	 * Returns the part of its normal traffic that the upstream may get.
	 * @return the part, 0 to 1; less than 1 while ejected and during the ramp-up
	 */
	public double trafficShare() {
		return this.trafficShare;
	}

	/**
	 * Returns the number of this entry's requests in flight at the upstream.
	 * @return the number
	 */
	public int inFlight() {
		return this.inFlight.size() + this.streaming;
	}

	/**
	 * Returns the number of queued prompt tokens by the last report.
	 * @return the number of tokens
	 */
	public long reportedTokens() {
		return this.reportedTokens;
	}

	/**
	 * Returns the number of uncached prompt tokens that this entry sent after the last
	 * report was measured.
	 * @return the number of tokens
	 */
	public long unreportedTokens() {
		return this.unreportedTokens;
	}

	/**
	 * Returns the number of requests in decode by the last report.
	 * @return the number
	 */
	public int reportedRunning() {
		return this.reportedRunning;
	}

	/**
	 * Returns the age of the last report's measurements.
	 * @param nowNanos the time, in nanoseconds
	 * @return the age, in nanoseconds
	 */
	public long ageNanos(long nowNanos) {
		return nowNanos - this.measuredAtNanos;
	}

	/**
	 * Returns the reported prefill time per token.
	 * @param defaultMillis the time to return if none was reported, in milliseconds
	 * @return the time, in milliseconds
	 */
	public double millisPerToken(double defaultMillis) {
		return (this.reportedMillisPerToken > 0) ? this.reportedMillisPerToken : defaultMillis;
	}

	/**
	 * Returns the number of a prefix's tokens that the upstream is estimated to cache.
	 * @param prefixDigest the hash of the prefix
	 * @param nowNanos the time, in nanoseconds
	 * @return the number of tokens
	 */
	public int cachedTokens(long prefixDigest, long nowNanos) {
		return this.prefixes.cachedTokens(prefixDigest, nowNanos);
	}

	/**
	 * Returns by how much recent first tokens were later than predicted.
	 * @param nowNanos the time, in nanoseconds
	 * @return the time, in milliseconds, at least 0; it decays with time
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
		int uncachedTokens = query.promptTokens()
				- Math.min(query.prefixTokens(), cachedTokens(query.prefixDigest(), nowNanos));
		this.inFlight.add(
				new SentRequest(nowNanos, uncachedTokens, query.prefixDigest(), query.promptTokens(), predictedMillis));
		this.unreportedTokens += uncachedTokens;
	}

	void firstToken(RouteQuery query, long nowNanos) {
		SentRequest sent = removeSent(query);
		if (sent == null) {
			return;
		}
		this.streaming++;
		this.prefixes.add(query.prefixDigest(), query.prefixTokens(), nowNanos);
		double errorMillis = (nowNanos - sent.sentNanos()) / 1e6 - sent.predictedMillis();
		this.predictionErrorMillis = Math.max(0, predictionErrorMillis(nowNanos) + ERROR_GAIN * errorMillis);
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
		boolean sameIncarnation = report.incarnation() == this.incarnation;
		if (sameIncarnation && report.sequence() <= this.sequence) {
			return false;
		}
		if (!sameIncarnation) {
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
	 * A sent request without a first token yet.
	 *
	 * @param sentNanos when it was sent, in nanoseconds
	 * @param uncachedTokens prompt tokens estimated not to be cached
	 * @param prefixDigest the hash of its prefix
	 * @param promptTokens its prompt's length, in tokens
	 * @param predictedMillis the predicted time to the first token, in milliseconds
	 */
	private record SentRequest(long sentNanos, int uncachedTokens, long prefixDigest, int promptTokens,
			double predictedMillis) {
	}

}
