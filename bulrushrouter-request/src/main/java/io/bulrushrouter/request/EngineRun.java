package io.bulrushrouter.request;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import io.bulrushrouter.kernel.AttemptId;

/**
 * One run on the engine and the attempts that wait for its response. The response is
 * recorded as it arrives, so that an equal request can join the run and the complete
 * response can be cached.
 */
final class EngineRun {

	private final AttemptId id;

	private final RequestSpec spec;

	private final int resumeAfterTokens;

	private final List<Waiter> waiters = new ArrayList<>();

	private final List<ResponseCache.Part> parts = new ArrayList<>();

	private Optional<SidecarEvent.EngineHead> head = Optional.empty();

	private State state = State.QUEUED;

	private long recordedBytes;

	private boolean recording;

	private boolean cancelled;

	EngineRun(AttemptId id, RequestSpec spec, int resumeAfterTokens) {
		this.id = id;
		this.spec = spec;
		this.resumeAfterTokens = resumeAfterTokens;
		this.recording = resumeAfterTokens == 0;
	}

	AttemptId id() {
		return this.id;
	}

	RequestSpec spec() {
		return this.spec;
	}

	int resumeAfterTokens() {
		return this.resumeAfterTokens;
	}

	List<Waiter> waiters() {
		return this.waiters;
	}

	State state() {
		return this.state;
	}

	void state(State state) {
		this.state = state;
	}

	boolean cancelled() {
		return this.cancelled;
	}

	void markCancelled() {
		this.cancelled = true;
	}

	Optional<SidecarEvent.EngineHead> head() {
		return this.head;
	}

	void head(SidecarEvent.EngineHead head) {
		this.head = Optional.of(head);
	}

	List<ResponseCache.Part> parts() {
		return this.parts;
	}

	Waiter waiter(AttemptId attempt) {
		return this.waiters.stream().filter((waiter) -> waiter.attempt().equals(attempt)).findFirst().orElseThrow();
	}

	ClaimRequest claimRequest(long sidecarIncarnation) {
		return new ClaimRequest(this.id, sidecarIncarnation, this.spec.organisation(),
				RunTable.ClaimKey.of(this.id, this.spec).key(), this.spec.digest());
	}

	/**
	 * Returns whether an equal request can join the run.
	 * @return whether the response is recorded completely so far and the run is not
	 * cancelled
	 */
	boolean joinable() {
		return this.recording && !this.cancelled;
	}

	// Excludes the response of a started read from being shared with later requests.
	void stopRecording() {
		this.recording &= !RunTable.isCacheableRead(this.spec) || this.state == State.QUEUED;
	}

	void record(ResponseCache.Part part, int maxBytes) {
		this.recordedBytes += part.bytes().length;
		this.recording &= this.recordedBytes <= maxBytes;
		if (this.recording) {
			this.parts.add(part);
		}
		else {
			this.parts.clear();
		}
	}

	Optional<ResponseCache.Response> response() {
		if (!this.recording || this.head.isEmpty()) {
			return Optional.empty();
		}
		return Optional.of(new ResponseCache.Response(this.spec.digest(), this.head.get(), List.copyOf(this.parts)));
	}

	/**
	 * The state of a run.
	 */
	enum State {

		/** It is queued. */
		QUEUED,

		/** Its idempotency key is being claimed. */
		CLAIMING,

		/** It was passed to the engine. */
		STARTED

	}

	/**
	 * An attempt that waits for the run's response.
	 */
	static final class Waiter {

		private final AttemptId attempt;

		private final long connection;

		private final long deadlineNanos;

		private int sequence;

		private long bytes;

		Waiter(AttemptId attempt, long connection, long deadlineNanos) {
			this.attempt = attempt;
			this.connection = connection;
			this.deadlineNanos = deadlineNanos;
		}

		AttemptId attempt() {
			return this.attempt;
		}

		long connection() {
			return this.connection;
		}

		long deadlineNanos() {
			return this.deadlineNanos;
		}

		SidecarAction head(SidecarEvent.EngineHead head) {
			return reply(new CallMessage.Head(this.attempt, this.sequence++, head.status(), head.contentType(),
					head.modelVersion()));
		}

		SidecarAction data(ResponseCache.Part part) {
			this.bytes += part.bytes().length;
			return reply(new CallMessage.Data(this.attempt, this.sequence++, part.bytes(), part.tokens()));
		}

		SidecarAction end() {
			return reply(new CallMessage.End(this.attempt, this.sequence++, this.bytes));
		}

		SidecarAction reply(CallMessage message) {
			return new SidecarAction.Reply(this.connection, message);
		}

	}

}
