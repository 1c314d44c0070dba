package io.bulrushrouter.request;

import java.util.Optional;

import io.bulrushrouter.kernel.ErrorCode;

/**
 * Decides whether a sidecar accepts new attempts. Once it drains, it never accepts any
 * again.
 */
final class SidecarGate {

	private final boolean enforced;

	private boolean open;

	private boolean draining;

	SidecarGate(boolean open, boolean enforced) {
		this.open = open;
		this.enforced = enforced;
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

	// Returns whether no further attempt may start.
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
