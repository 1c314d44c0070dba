package io.bulrushrouter.daemon.entry;

import java.util.HashMap;
import java.util.Map;

import io.bulrushrouter.http.HttpExchange;
import io.bulrushrouter.kernel.UpstreamId;
import io.bulrushrouter.request.EntryCall;
import io.bulrushrouter.request.RequestSpec;
import io.bulrushrouter.wire.PeerConnection;

/**
 * A request without a final response.
 */
final class PendingCall {

	final HttpExchange exchange;

	final RequestSpec spec;

	final EntryCall call;

	final long startedNanos;

	/** The attempts in flight, by attempt number. */
	final Map<Integer, Attempt> attempts = new HashMap<>();

	boolean sawFirstToken;

	PendingCall(HttpExchange exchange, RequestSpec spec, EntryCall call, long startedNanos) {
		this.exchange = exchange;
		this.spec = spec;
		this.call = call;
		this.startedNanos = startedNanos;
	}

	boolean uses(PeerConnection connection) {
		return this.attempts.values().stream().anyMatch((attempt) -> attempt.connection == connection);
	}

	/**
	 * An attempt in flight.
	 */
	static final class Attempt {

		final UpstreamId upstream;

		final PeerConnection connection;

		boolean sawFirstToken;

		Attempt(UpstreamId upstream, PeerConnection connection) {
			this.upstream = upstream;
			this.connection = connection;
		}

	}

}
