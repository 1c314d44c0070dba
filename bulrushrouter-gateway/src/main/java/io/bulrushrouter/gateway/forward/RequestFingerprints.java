package io.bulrushrouter.gateway.forward;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import io.bulrushrouter.gateway.quarantine.CrashEvidence;
import io.bulrushrouter.gateway.quarantine.CrashEvidence.Quarantine;
import io.bulrushrouter.gateway.quarantine.Fingerprint;
import io.bulrushrouter.gateway.source.UpstreamRecord;

/**
 * What one request may have in common with others that crash their upstreams, and what
 * becomes of it.
 */
final class RequestFingerprints {

	/** Limit of the characters of prompt parts in a log line. */
	private static final int MAX_LOGGED_PARTS_LENGTH = 256;

	private final GatewayContext context;

	private final CallerRequest request;

	private String digest;

	private List<Fingerprint> all;

	RequestFingerprints(GatewayContext context, CallerRequest request) {
		this.context = context;
		this.request = request;
	}

	// Read where they are needed: the head holds them already.
	private Optional<String> parts() {
		return Optional.ofNullable(this.request.header(this.context.headers().promptParts()));
	}

	private List<Fingerprint> sharedParts() {
		return parts().map(Fingerprint::ofSharedParts).orElse(List.of());
	}

	/**
	 * Returns the parts of the prompt for a log line, cut where they are long.
	 * @return the parts as the caller states them, or a hyphen if it states none
	 */
	String loggedParts() {
		return parts().map((text) -> text.substring(0, Math.min(text.length(), MAX_LOGGED_PARTS_LENGTH))).orElse("-");
	}

	/**
	 * Returns the digest by which the request is recognised when it comes again. It is
	 * computed at the first call, which most requests do not get.
	 * @return the digest in hexadecimal
	 */
	String digest() {
		if (this.digest == null) {
			this.digest = RequestDigest.of(this.request, this.context.headers());
		}
		return this.digest;
	}

	private List<Fingerprint> all() {
		if (this.all == null) {
			this.all = new ArrayList<>(sharedParts());
			this.all.add(Fingerprint.ofRequest(digest()));
		}
		return this.all;
	}

	private CrashEvidence evidence() {
		return this.context.crashEvidence();
	}

	/**
	 * Returns why the request must not be sent to an upstream now.
	 * @return the quarantine that applies to it, or empty if it may be sent
	 */
	Optional<Quarantine> quarantine() {
		return evidence().suspicious() ? evidence().quarantine(all(), this.context.nowNanos()) : Optional.empty();
	}

	/**
	 * Records that the request is sent to an upstream.
	 */
	void sent() {
		if (evidence().suspicious()) {
			evidence().sent(all(), this.context.nowNanos());
		}
	}

	/**
	 * Records that an upstream has survived the start of the response, or has sent it
	 * whole.
	 */
	void succeeded() {
		evidence().succeeded(evidence().suspicious() ? all() : sharedParts(), this.context.nowNanos());
	}

	/**
	 * Records that the connection to the upstream was lost while the request was running
	 * and its response had hardly begun.
	 * @param upstream the upstream
	 */
	void connectionLost(UpstreamRecord upstream) {
		this.context.recordLostConnection(upstream, all());
	}

}
