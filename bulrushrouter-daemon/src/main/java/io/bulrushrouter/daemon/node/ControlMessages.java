package io.bulrushrouter.daemon.node;

/**
 * The control messages between entries and sidecars beside load reports.
 */
public final class ControlMessages {

	private ControlMessages() {
	}

	/**
	 * Sidecar to entries: the upstream leaves or has returned.
	 *
	 * @param leaving whether it leaves
	 */
	public record UpstreamStateChanged(boolean leaving) {
	}

}
