package io.bulrushrouter.request;

import java.util.Objects;

import io.bulrushrouter.kernel.UpstreamId;

/**
 * What happens to one request at the entry.
 */
public sealed interface EntryEvent {

	/**
	 * The request came whole and was admitted.
	 */
	record Start() implements EntryEvent {
	}

	/**
	 * The connection that an attempt goes out on is with this incarnation of the sidecar.
	 * Optional; without it the first answer names the incarnation.
	 *
	 * @param attempt the attempt's number
	 * @param upstreamIncarnation the sidecar's incarnation, as its connection's greeting
	 * named it
	 */
	record Sent(int attempt, long upstreamIncarnation) implements EntryEvent {
	}

	/**
	 * A sidecar said something.
	 *
	 * @param upstream the sidecar's upstream
	 * @param upstreamIncarnation the sidecar process's incarnation
	 * @param message what it said
	 */
	record Received(UpstreamId upstream, long upstreamIncarnation, CallMessage message) implements EntryEvent {

		/**
		 * Checks the parts.
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
	 * An attempt was certainly not flushed to its sidecar.
	 *
	 * @param attempt the attempt's number
	 */
	record SendFailed(int attempt) implements EntryEvent {
	}

	/**
	 * The caller went away.
	 */
	record CallerDisconnected() implements EntryEvent {
	}

	/**
	 * Time passed.
	 */
	record Tick() implements EntryEvent {
	}

}
