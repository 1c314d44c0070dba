package io.bulrushrouter.request;

import java.util.Optional;

import io.bulrushrouter.kernel.ErrorCode;

/**
 * Whether a sidecar takes new attempts. Once it drains it never opens again.
 */
final class SidecarGate {

	private final boolean enforced;

	private boolean open;

	private boolean draining;

	SidecarGate(boolean open, boolean guarded) {
		this.open = open;
		this.enforced = guarded;
	}

	void open() {
		this.open = true;
	}

	void drain() {
		this.draining = true;
	}

	boolean isDraining() {
		return this.draining;
	}

	// Tells whether nothing may start any longer.
	boolean rejectsStarts() {
		return this.draining && this.enforced;
	}

	Optional<ErrorCode> refusal() {
		if (rejectsStarts()) {
			return Optional.of(ErrorCode.DRAINING);
		}
		return this.open ? Optional.empty() : Optional.of(ErrorCode.NOT_READY);
	}

}
