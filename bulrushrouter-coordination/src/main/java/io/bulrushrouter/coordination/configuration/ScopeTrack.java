package io.bulrushrouter.coordination.configuration;

import java.time.Duration;
import java.util.Optional;

import io.bulrushrouter.coordination.configuration.ConfigurationMessage.Document;
import io.bulrushrouter.kernel.InstanceId;

/**
 * One scope at one node: what is in force, what is known, and what was asked for.
 */
final class ScopeTrack {

	private final String scope;

	private Optional<Document> inForce = Optional.empty();

	private long known;

	private long refused;

	private boolean confirmed;

	private Optional<InstanceId> source = Optional.empty();

	private Optional<Long> windowFrom = Optional.empty();

	private int handed;

	private Optional<Long> askedAt = Optional.empty();

	ScopeTrack(String scope) {
		this.scope = scope;
	}

	Optional<Document> inForce() {
		return this.inForce;
	}

	long version() {
		return this.inForce.map(Document::version).orElse(0L);
	}

	ScopeState state() {
		return new ScopeState(this.scope, version(), this.known);
	}

	boolean isRefused() {
		return this.refused > version();
	}

	boolean isConfirmed() {
		return this.confirmed;
	}

	void confirm() {
		this.confirmed = true;
	}

	boolean isWhole() {
		return this.inForce.isPresent() && version() >= this.known;
	}

	void hear(ScopeState peer, InstanceId from) {
		this.known = Math.max(this.known, peer.known());
		if (isNews(peer.inForce())) {
			this.source = Optional.of(from);
		}
	}

	boolean isNews(long version) {
		return version > newsAbove();
	}

	long newsAbove() {
		return Math.max(version(), this.refused);
	}

	// Returns whom to ask for a higher version now, and notes that it is asked.
	Optional<InstanceId> ask(Duration timeout, long nowNanos) {
		boolean waiting = this.askedAt.filter((at) -> nowNanos - at < timeout.toNanos()).isPresent();
		if (waiting || this.source.isEmpty()) {
			return Optional.empty();
		}
		this.askedAt = Optional.of(nowNanos);
		return this.source;
	}

	// Returns the document in force if another may be sent within the window.
	Optional<Document> hand(long above, int limit, Duration window, long nowNanos) {
		if (version() <= above) {
			return Optional.empty();
		}
		if (this.windowFrom.filter((from) -> nowNanos - from < window.toNanos()).isEmpty()) {
			this.windowFrom = Optional.of(nowNanos);
			this.handed = 0;
		}
		this.handed++;
		return (this.handed <= limit) ? this.inForce : Optional.empty();
	}

	void refuse(long version) {
		this.refused = version;
		this.known = Math.max(this.known, version);
		settle();
	}

	void adopt(Document document) {
		this.inForce = Optional.of(document);
		this.known = Math.max(this.known, document.version());
		settle();
	}

	private void settle() {
		this.askedAt = Optional.empty();
		this.source = Optional.empty();
	}

}
