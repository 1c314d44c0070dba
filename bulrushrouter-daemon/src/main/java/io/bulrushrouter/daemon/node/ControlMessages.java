package io.bulrushrouter.daemon.node;

/**
 * The control messages between entries and sidecars beside load reports.
 */
public final class ControlMessages {

	private ControlMessages() {
	}

	/**
	 * Sidecar to entries: the upstream leaves, has died or has returned.
	 *
	 * @param leaving whether it leaves
	 * @param healthy whether it can be reached
	 */
	public record UpstreamStateChanged(boolean leaving, boolean healthy) {
	}

	/**
	 * Entry to sidecar: say what your upstream does.
	 *
	 * @param question the question's number at the entry
	 */
	public record ObserveUpstream(long question) {
	}

	/**
	 * Sidecar to entry: what the upstream does.
	 *
	 * @param question the question's number at the entry
	 * @param phase the name of the evacuation's phase
	 * @param inFlight how many requests it has begun and not answered
	 * @param refusal what its engine said when it last refused an order; empty if it did
	 * not
	 */
	public record UpstreamObserved(long question, String phase, int inFlight, String refusal) {
	}

	/**
	 * Entry to sidecar: an order of an evacuation.
	 *
	 * @param question the order's number at the entry
	 * @param order {@code set-leaving}, {@code unload} or {@code stop-upstream}
	 * @param fence the fencing number of the one who orders
	 */
	public record OrderUpstream(long question, String order, long fence) {
	}

	/**
	 * Sidecar to entry: what became of an order.
	 *
	 * @param question the order's number at the entry
	 * @param result {@code done}, {@code refused}, {@code fenced} or {@code unknown}
	 * @param detail details for a person
	 */
	public record UpstreamOrdered(long question, String result, String detail) {
	}

}
