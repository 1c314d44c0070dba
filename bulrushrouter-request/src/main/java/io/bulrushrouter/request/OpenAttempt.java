package io.bulrushrouter.request;

import java.util.Optional;
import java.util.TreeMap;

import io.bulrushrouter.kernel.AttemptId;
import io.bulrushrouter.kernel.UpstreamId;

/**
 * An attempt at the entry whose outcome is not known yet. It puts the parts of the answer
 * back in order.
 */
final class OpenAttempt {

	/** Parts that may wait for an earlier one. */
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
	 * Returns how many tokens of the whole answer this attempt and the one it resumes
	 * have brought.
	 * @return the tokens
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
	 * Tells whether a message is about this attempt and from the process it went to.
	 * @param received the message
	 * @return whether it may be taken
	 */
	boolean isFrom(EntryEvent.Received received) {
		return received.message().attempt().equals(this.id) && received.upstream().equals(this.upstream)
				&& (this.incarnation.isEmpty() || this.incarnation.get() == received.upstreamIncarnation());
	}

	EntryAction cancel() {
		return new EntryAction.SendCancel(this.upstream, new CallMessage.Cancel(this.id));
	}

	/**
	 * Keeps a part of the answer until its turn.
	 * @param message the part
	 * @return false if it came before or is too far ahead
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
	 * Returns the next part whose turn it is.
	 * @param nowNanos the time
	 * @return the part, or empty if it has not come yet
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
