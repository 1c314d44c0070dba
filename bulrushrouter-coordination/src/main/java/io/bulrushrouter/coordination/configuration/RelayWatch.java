package io.bulrushrouter.coordination.configuration;

import java.time.Duration;
import java.util.Optional;

import io.bulrushrouter.coordination.configuration.ConfigurationMessage.Document;
import io.bulrushrouter.kernel.store.ObjectKey;
import io.bulrushrouter.kernel.store.ReadResult;

/**
 * Decides when a node asks the platform for one scope: once when it joins, and without
 * end while it is a relay. It does no I/O.
 */
public final class RelayWatch {

	/** How long a watch waits at the platform. */
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
	 * Returns the watch of one scope by a node that has just started.
	 * @param scope the scope
	 * @return the watch
	 */
	public static RelayWatch of(String scope) {
		return new RelayWatch(scope);
	}

	/**
	 * Returns the object that holds a scope's configuration.
	 * @param scope the scope
	 * @return the key
	 */
	public static ObjectKey keyOf(String scope) {
		return ObjectKey.of("configuration", scope);
	}

	/**
	 * Returns what to ask the platform now.
	 * @param relay whether the node is a relay
	 * @param nowNanos the time
	 * @return what to ask, or empty for nothing
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
	 * Takes the platform's answer.
	 * @param result the answer
	 * @param nowNanos the time
	 * @return what to hand to {@link ConfigurationNode#onStored}, or empty if the
	 * platform told nothing new
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
	 * What to ask the platform.
	 */
	public enum RequestKind {

		/** Read the object, to learn the version that is in force now. */
		READ,

		/** Watch the object for a version above the one in force. */
		WATCH

	}

	/**
	 * What the platform holds.
	 *
	 * @param scope the scope
	 * @param document the configuration; empty if there is none
	 */
	public record StoredConfiguration(String scope, Optional<Document> document) {
	}

}
