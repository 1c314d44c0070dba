package io.bulrushrouter.coordination.configuration;

import java.time.Duration;
import java.util.Optional;

import io.bulrushrouter.coordination.configuration.ConfigurationMessage.Document;
import io.bulrushrouter.kernel.store.ObjectKey;
import io.bulrushrouter.kernel.store.ReadResult;

/**
 * Decides when a node requests one scope from the platform: a read when it joins, and
 * continuous watches while it is a relay. It does no I/O.
 */
public final class RelayWatch {

	/** How long a watch waits at the platform for a new version. */
	public static final Duration WATCH_TIMEOUT = Duration.ofSeconds(30);

	private static final Duration RETRY_DELAY = Duration.ofSeconds(1);

	private final String scope;

	private boolean requestPending;

	private boolean answered;

	private Optional<Long> pausedUntil = Optional.empty();

	private RelayWatch(String scope) {
		this.scope = scope;
	}

	/**
	 * Creates the watch of one scope for a node that has just started.
	 * @param scope the scope
	 * @return the watch
	 */
	public static RelayWatch of(String scope) {
		return new RelayWatch(scope);
	}

	/**
	 * Returns the key of the object that stores a scope's configuration.
	 * @param scope the scope
	 * @return the key
	 */
	public static ObjectKey keyOf(String scope) {
		return ObjectKey.of("configuration", scope);
	}

	/**
	 * Returns the request to send to the platform now.
	 * @param relay whether the node is a relay
	 * @param nowNanos the current time, in nanoseconds
	 * @return the kind of request, or empty if none is due
	 */
	public Optional<RequestKind> next(boolean relay, long nowNanos) {
		boolean paused = this.pausedUntil.filter((end) -> nowNanos - end < 0).isPresent();
		if (this.requestPending || paused || (this.answered && !relay)) {
			return Optional.empty();
		}
		this.requestPending = true;
		return Optional.of(this.answered ? RequestKind.WATCH : RequestKind.READ);
	}

	/**
	 * Handles the platform's response.
	 * @param result the response
	 * @param nowNanos the current time, in nanoseconds
	 * @return the stored configuration to pass to {@link ConfigurationNode#onStored}, or
	 * empty if the response contains nothing new
	 */
	public Optional<StoredConfiguration> answered(ReadResult result, long nowNanos) {
		this.requestPending = false;
		if (result instanceof ReadResult.Unavailable) {
			this.pausedUntil = Optional.of(nowNanos + RETRY_DELAY.toNanos());
			return Optional.empty();
		}
		boolean first = !this.answered;
		this.answered = true;
		if (result instanceof ReadResult.Found found) {
			Document document = new Document(this.scope, found.object().version(), found.object().value());
			return Optional.of(new StoredConfiguration(this.scope, Optional.of(document)));
		}
		return first ? Optional.of(new StoredConfiguration(this.scope, Optional.empty())) : Optional.empty();
	}

	/**
	 * The kinds of request to the platform.
	 */
	public enum RequestKind {

		/** Read the object to get the current version. */
		READ,

		/** Watch the object for a version above the highest that was handled. */
		WATCH

	}

	/**
	 * The configuration stored at the platform.
	 *
	 * @param scope the scope
	 * @param document the configuration, or empty if there is none
	 */
	public record StoredConfiguration(String scope, Optional<Document> document) {
	}

}
