package io.bulrushrouter.routing.admission;

import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.DoubleConsumer;

/**
 * Limit of the streams of one service that this entry keeps in flight, derived from the
 * interval between events of its own streams. All ranks of a group execute each pass
 * together, so every entry observes the same interval and none has to know how many
 * streams the others have. A pass consists of a fixed part and a part proportional to the
 * streams in flight; the limit is the number of streams at which the interval would equal
 * the target. Not thread-safe.
 */
public final class PaceLimit {

	/** How often {@link #sweep} is to be called while streams are in flight, in ms. */
	public static final long SWEEP_MILLIS = 50;

	/**
	 * Largest growth of the streams in flight within one window: a group that has just
	 * formed or has stalled is filled step by step.
	 */
	private static final double MAX_GROWTH = 2;

	/**
	 * Share of the entry's equal share of all slots that is added to the limit while the
	 * interval is below the target. Increases by the same number and decreases by the
	 * same factor make the shares of entries converge.
	 */
	private static final double INCREASE_SHARE = 0.05;

	/**
	 * Share of its equal share of the slots that an entry uses whatever it observes. With
	 * half of the slots in use the proportional part of a pass is halved already; fewer
	 * streams shorten passes little more and leave slots unused.
	 */
	private static final double MIN_SHARE = 0.5;

	/** The same just after a stall, when the group is filled step by step. */
	private static final double MIN_SHARE_AFTER_STALL = 0.08;

	/**
	 * How much the target of an entry without any stream exceeds that of an entry that
	 * uses its equal share of the slots. All entries observe the same interval, so those
	 * that wait for room with few streams in flight take over from those with many.
	 */
	private static final double BALANCE_GAIN = 0.25;

	/**
	 * Number of running streams that must all have paused for a stall; fewer may hang at
	 * one upstream.
	 */
	private static final int MIN_STALLED_STREAMS = 3;

	/** Share of the slots in use at which an entry's target is not changed. */
	private static final double TYPICAL_SHARE = 0.75;

	/** Largest deviation from the equal share that counts. */
	private static final double MAX_IMBALANCE = 0.6;

	/**
	 * Share of its equal share of the slots that an entry uses before it observes any.
	 */
	private static final double START_SHARE = 0.5;

	/**
	 * Smallest part of the target that is left for streams. It guards against a target
	 * near or below the fixed part, where no limit would meet the target.
	 */
	private static final double MIN_VARIABLE_SHARE = 0.1;

	/**
	 * Longest interval that counts, in longest allowed pauses. A single upstream that
	 * hangs is no evidence about the group.
	 */
	private static final double MAX_SAMPLE_GAPS = 2.5;

	/**
	 * Time without any event, in longest allowed pauses, after which the group counts as
	 * stalled.
	 */
	private static final double STALL_GAPS = 2;

	/**
	 * A rank that crashes stops its group for 0.6 to 1.5 s. Streams that pause for longer
	 * are not evidence of such a stall, and must not prevent admissions for longer.
	 */
	private static final double MAX_STALL_MILLIS = 1_600;

	private static final double NANOS_PER_MILLI = TimeUnit.MILLISECONDS.toNanos(1);

	private final double fixedMillis;

	private final double maxGapMillis;

	private final DoubleConsumer onPredictionRatio;

	private final IntervalEstimate estimate = new IntervalEstimate();

	private final Set<StreamPace> running = new HashSet<>();

	private int slots = 1;

	private double equalShare = 1;

	private boolean stalled;

	private boolean wasStalled;

	private long stalledNanos;

	private double predictedMillis;

	private long predictedForNanos = Long.MAX_VALUE;

	/**
	 * Creates a limit.
	 * @param fixedMillis the length of a pass without any stream, in milliseconds
	 * @param maxGapMillis the longest allowed pause between events, in milliseconds
	 * @param onPredictionRatio receives each observed interval as a ratio of the
	 * prediction that was made for it
	 */
	public PaceLimit(double fixedMillis, double maxGapMillis, DoubleConsumer onPredictionRatio) {
		this.fixedMillis = fixedMillis;
		this.maxGapMillis = maxGapMillis;
		this.onPredictionRatio = onPredictionRatio;
	}

	/**
	 * Sets the slots of the service.
	 * @param allSlots the slots of all upstreams that accept requests
	 * @param entries the number of entries that share them
	 */
	public void slots(int allSlots, int entries) {
		this.slots = allSlots;
		this.equalShare = (double) allSlots / Math.max(1, entries);
	}

	/**
	 * Records events of a stream.
	 * @param stream the stream
	 * @param count the number of events that were read together
	 * @param inFlight the streams in flight now
	 * @param nowNanos the current monotonic time, in nanoseconds
	 */
	public void event(StreamPace stream, int count, int inFlight, long nowNanos) {
		stream.recordCallerPause(count, nowNanos);
		if (stream.running()) {
			double millis = (nowNanos - stream.passStartNanos) / NANOS_PER_MILLI;
			this.estimate.add(Math.min(millis, MAX_SAMPLE_GAPS * this.maxGapMillis), stream.inFlightThen, nowNanos);
		}
		stream.passStartNanos = nowNanos;
		stream.inFlightThen = inFlight;
		this.running.add(stream);
	}

	/**
	 * Records that a stream ended.
	 * @param stream the stream
	 */
	public void ended(StreamPace stream) {
		this.running.remove(stream);
	}

	/**
	 * Takes the intervals into account that have not ended, and compares the last
	 * prediction with what was observed.
	 * @param inFlight the streams in flight now
	 * @param nowNanos the current monotonic time, in nanoseconds
	 */
	public void sweep(int inFlight, long nowNanos) {
		this.estimate.clearOpen();
		double closedMillis = this.estimate.meanMillis(nowNanos);
		double shortest = Double.MAX_VALUE;
		int running = 0;
		for (StreamPace stream : this.running) {
			double millis = (nowNanos - stream.passStartNanos) / NANOS_PER_MILLI;
			if (stream.running() && millis < MAX_STALL_MILLIS) {
				shortest = Math.min(shortest, millis);
				running++;
				if (millis > closedMillis) {
					this.estimate.addOpen(Math.min(millis, MAX_SAMPLE_GAPS * this.maxGapMillis), stream.inFlightThen);
				}
			}
		}
		this.stalled = running >= MIN_STALLED_STREAMS && shortest > STALL_GAPS * this.maxGapMillis;
		if (this.stalled) {
			this.wasStalled = true;
			this.stalledNanos = nowNanos;
		}
		comparePrediction(inFlight, nowNanos);
	}

	private void comparePrediction(int inFlight, long nowNanos) {
		double observed = this.estimate.meanMillis(nowNanos);
		if (nowNanos >= this.predictedForNanos) {
			if (observed > 0 && this.predictedMillis > 0) {
				this.onPredictionRatio.accept(observed / this.predictedMillis);
			}
			this.predictedForNanos = Long.MAX_VALUE;
		}
		if (this.predictedForNanos == Long.MAX_VALUE && observed > 0) {
			this.predictedMillis = predictMillis(inFlight, nowNanos);
			this.predictedForNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(IntervalEstimate.WINDOW_MILLIS);
		}
	}

	/**
	 * Predicts the interval between events.
	 * @param inFlight the streams in flight
	 * @param nowNanos the current monotonic time, in nanoseconds
	 * @return the interval in milliseconds, 0 if nothing is known
	 */
	public double predictMillis(int inFlight, long nowNanos) {
		double observed = this.estimate.meanMillis(nowNanos);
		double then = this.estimate.meanInFlight(nowNanos);
		if (observed <= 0 || then <= 0) {
			return observed;
		}
		double fixed = Math.min(this.fixedMillis, observed);
		return fixed + (observed - fixed) * inFlight / then;
	}

	/**
	 * Returns the number of streams at which the interval equals a share of the longest
	 * allowed pause.
	 * @param share the share of the longest allowed pause
	 * @param nowNanos the current monotonic time, in nanoseconds
	 * @return the maximum number of streams in flight, 0 while the group stalls
	 */
	public int limit(double share, long nowNanos) {
		if (this.stalled) {
			return 0;
		}
		// The minimum is lower for less urgent classes, which leaves room for urgent
		// ones.
		double minimum = Math.max(1, minShare(nowNanos) * this.equalShare * share / PriorityClasses.MOST_URGENT_SHARE);
		double observed = this.estimate.meanMillis(nowNanos);
		if (observed <= 0) {
			return bounded(START_SHARE * this.equalShare, minimum);
		}
		double target = share * this.maxGapMillis * balanceFactor(nowNanos);
		double variableTarget = Math.max(target - this.fixedMillis, MIN_VARIABLE_SHARE * target);
		double variable = Math.max(observed - this.fixedMillis, variableTarget / MAX_GROWTH);
		double ratio = variableTarget / variable;
		double allowed = ratio * this.estimate.meanInFlight(nowNanos);
		if (observed < target) {
			allowed += Math.max(1, INCREASE_SHARE * this.equalShare);
		}
		return bounded(allowed, minimum);
	}

	private double minShare(long nowNanos) {
		boolean afterStall = nowNanos - this.stalledNanos < TimeUnit.MILLISECONDS
			.toNanos(IntervalEstimate.WINDOW_MILLIS);
		return (this.wasStalled && afterStall) ? MIN_SHARE_AFTER_STALL : MIN_SHARE;
	}

	private double balanceFactor(long nowNanos) {
		double imbalance = this.estimate.meanInFlight(nowNanos) / this.equalShare - TYPICAL_SHARE;
		return 1 - BALANCE_GAIN * Math.max(-MAX_IMBALANCE, Math.min(MAX_IMBALANCE, imbalance));
	}

	private int bounded(double allowed, double minimum) {
		return (int) Math.max(minimum, Math.min(this.slots, allowed));
	}

	/**
	 * Returns whether the group counts as stalled.
	 * @return whether all running streams have paused for much longer than allowed
	 */
	public boolean stalled() {
		return this.stalled;
	}

	/**
	 * Returns the observed interval.
	 * @param nowNanos the current monotonic time, in nanoseconds
	 * @return the interval in milliseconds, 0 if nothing is known
	 */
	public double observedMillis(long nowNanos) {
		return this.estimate.meanMillis(nowNanos);
	}

}
