package io.bulrushrouter.request;

import java.util.Objects;

import io.bulrushrouter.kernel.UpstreamId;

/**
 * An event of one request at the entry.
 */
public sealed interface EntryEvent {

	/**
	 * The request was received completely and admitted.
	 */
	record Start() implements EntryEvent {
	}

	/**
	 * An attempt is sent on a connection to this incarnation of the sidecar. Optional;
	 * without it the attempt is bound to the incarnation of the first message received.
	 *
	 * @param attempt the attempt's number
	 * @param upstreamIncarnation the sidecar's incarnation, from the connection's
	 * handshake
	 */
	record Sent(int attempt, long upstreamIncarnation) implements EntryEvent {
	}

	/**
	 * A message from a sidecar was received.
	 *
	 * @param upstream the sidecar's upstream
	 * @param upstreamIncarnation the sidecar process's incarnation
	 * @param message the message
	 */
	record Received(UpstreamId upstream, long upstreamIncarnation, CallMessage message) implements EntryEvent {

		/**
		 * Validates the components.
		 */
		public Received {
			Objects.requireNonNull(upstream);
			Objects.requireNonNull(message);
		}

	}

	/**
	 * The connection to a sidecar was lost after attempts were flushed to it.
	 *
	 * @param upstream the sidecar's upstream
	 */
	record ConnectionLost(UpstreamId upstream) implements EntryEvent {
	}

	/**
	 * An attempt could not be sent; no byte of it was flushed to its sidecar.
	 *
	 * @param attempt the attempt's number
	 */
	record SendFailed(int attempt) implements EntryEvent {
	}

	/**
	 * The caller closed its connection.
	 */
	record CallerDisconnected() implements EntryEvent {
	}

	/**
	 * The time of {@link EntryCall#nextWakeNanos()} was reached.
	 */
	record Tick() implements EntryEvent {
	}

}
