package io.bulrushrouter.request;

import java.util.Optional;
import java.util.TreeMap;

import io.bulrushrouter.kernel.AttemptId;
import io.bulrushrouter.kernel.UpstreamId;

/**
 * An attempt at the entry whose outcome is not yet known. It restores the order of the
 * response's parts.
 */
final class OpenAttempt {

	/** Maximum number of parts buffered until an earlier one arrives. */
	private static final int MAX_BUFFERED_PARTS = 64;

	private final AttemptId id;

	private final UpstreamId upstream;

	private final int resumeAfterTokens;

	private final long sentNanos;

	private final TreeMap<Integer, CallMessage> buffered = new TreeMap<>();

	private Optional<Long> incarnation = Optional.empty();

	private int nextSequence;

	private long bytes;

	private int tokens;

	private long lastProgressNanos;

	private boolean cancelled;

	OpenAttempt(AttemptId id, UpstreamId upstream, int resumeAfterTokens, long sentNanos) {
		this.id = id;
		this.upstream = upstream;
		this.resumeAfterTokens = resumeAfterTokens;
		this.sentNanos = sentNanos;
		this.lastProgressNanos = sentNanos;
	}

	AttemptId id() {
		return this.id;
	}

	UpstreamId upstream() {
		return this.upstream;
	}

	int resumeAfterTokens() {
		return this.resumeAfterTokens;
	}

	long sentNanos() {
		return this.sentNanos;
	}

	long lastProgressNanos() {
		return this.lastProgressNanos;
	}

	long bytes() {
		return this.bytes;
	}

	/**
	 * Returns the number of tokens of the response received so far, including those
	 * before the point at which this attempt resumed.
	 * @return the number of tokens
	 */
	int tokens() {
		return this.resumeAfterTokens + this.tokens;
	}

	boolean isResponding() {
		return this.nextSequence > 0 || !this.buffered.isEmpty();
	}

	boolean cancelled() {
		return this.cancelled;
	}

	void markCancelled() {
		this.cancelled = true;
	}

	void bindIncarnation(long upstreamIncarnation) {
		if (this.incarnation.isEmpty()) {
			this.incarnation = Optional.of(upstreamIncarnation);
		}
	}

	/**
	 * Returns whether a message belongs to this attempt and comes from the process that
	 * the attempt was sent to.
	 * @param received the message
	 * @return whether the message is accepted
	 */
	boolean isFrom(EntryEvent.Received received) {
		return received.message().attempt().equals(this.id) && received.upstream().equals(this.upstream)
				&& (this.incarnation.isEmpty() || this.incarnation.get() == received.upstreamIncarnation());
	}

	EntryAction cancel() {
		return new EntryAction.SendCancel(this.upstream, new CallMessage.Cancel(this.id));
	}

	/**
	 * Buffers a part of the response until all earlier ones have arrived.
	 * @param message the part
	 * @return false if the part is a duplicate or the buffer is full
	 */
	boolean buffer(CallMessage message) {
		int sequence = sequenceOf(message);
		if (sequence < this.nextSequence || this.buffered.size() >= MAX_BUFFERED_PARTS) {
			return false;
		}
		return this.buffered.putIfAbsent(sequence, message) == null;
	}

	private static int sequenceOf(CallMessage message) {
		if (message instanceof CallMessage.Head head) {
			return head.sequence();
		}
		if (message instanceof CallMessage.Data data) {
			return data.sequence();
		}
		return (message instanceof CallMessage.End end) ? end.sequence() : -1;
	}

	/**
	 * Removes and returns the next part in sequence.
	 * @param nowNanos the current time, in nanoseconds
	 * @return the part, or empty if it has not arrived yet
	 */
	Optional<CallMessage> pollNext(long nowNanos) {
		CallMessage message = this.buffered.remove(this.nextSequence);
		if (message == null) {
			return Optional.empty();
		}
		this.nextSequence++;
		this.lastProgressNanos = nowNanos;
		if (message instanceof CallMessage.Data data) {
			this.bytes += data.bytes().length;
			this.tokens += data.tokens();
		}
		return Optional.of(message);
	}

}
