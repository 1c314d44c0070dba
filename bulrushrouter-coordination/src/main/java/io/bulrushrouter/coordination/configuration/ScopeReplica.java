package io.bulrushrouter.coordination.configuration;

import java.time.Duration;
import java.util.Optional;

import io.bulrushrouter.coordination.configuration.ConfigurationMessage.Document;
import io.bulrushrouter.kernel.InstanceId;

/**
 * One node's replica of a scope: the configuration in force, the highest known version
 * and the pending request.
 */
final class ScopeReplica {

	private final String scope;

	private Optional<Document> inForce = Optional.empty();

	private long known;

	private long refusedVersion;

	private boolean confirmed;

	private Optional<InstanceId> requestTarget = Optional.empty();

	private Optional<Long> windowStartNanos = Optional.empty();

	private int sentInWindow;

	private Optional<Long> requestedAtNanos = Optional.empty();

	ScopeReplica(String scope) {
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
		return this.refusedVersion > version();
	}

	boolean isConfirmed() {
		return this.confirmed;
	}

	void confirm() {
		this.confirmed = true;
	}

	boolean isUpToDate() {
		return this.inForce.isPresent() && version() >= this.known;
	}

	void updateFrom(ScopeState peer, InstanceId sender) {
		this.known = Math.max(this.known, peer.known());
		if (isNew(peer.inForce())) {
			this.requestTarget = Optional.of(sender);
		}
	}

	boolean isNew(long version) {
		return version > highestHandledVersion();
	}

	long highestHandledVersion() {
		return Math.max(version(), this.refusedVersion);
	}

	// Returns the peer to request a higher version from now, and records the request as
	// pending.
	Optional<InstanceId> nextRequestTarget(Duration timeout, long nowNanos) {
		boolean requestInFlight = this.requestedAtNanos.filter((at) -> nowNanos - at < timeout.toNanos()).isPresent();
		if (requestInFlight || this.requestTarget.isEmpty()) {
			return Optional.empty();
		}
		this.requestedAtNanos = Optional.of(nowNanos);
		return this.requestTarget;
	}

	// Returns the document in force if it is newer and the send limit of the current
	// window is not reached.
	Optional<Document> documentToSend(long above, int limit, Duration window, long nowNanos) {
		if (version() <= above) {
			return Optional.empty();
		}
		if (this.windowStartNanos.filter((from) -> nowNanos - from < window.toNanos()).isEmpty()) {
			this.windowStartNanos = Optional.of(nowNanos);
			this.sentInWindow = 0;
		}
		this.sentInWindow++;
		return (this.sentInWindow <= limit) ? this.inForce : Optional.empty();
	}

	void refuse(long version) {
		this.refusedVersion = version;
		this.known = Math.max(this.known, version);
		clearRequest();
	}

	void adopt(Document document) {
		this.inForce = Optional.of(document);
		this.known = Math.max(this.known, document.version());
		clearRequest();
	}

	private void clearRequest() {
		this.requestedAtNanos = Optional.empty();
		this.requestTarget = Optional.empty();
	}

}
