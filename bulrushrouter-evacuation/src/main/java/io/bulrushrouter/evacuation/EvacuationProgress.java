package io.bulrushrouter.evacuation;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

import io.bulrushrouter.kernel.UpstreamId;

/**
 * What the lease holders of a plan have observed. It is stored apart from what operators
 * intend, so that writes of the two never conflict.
 *
 * @param fence the highest fencing token that changed it
 * @param stopped the upstreams that were observed stopped, ordered by name; recorded
 * since a stopped upstream may have no process left that reports its state
 * @param points the number of remaining upstreams, one point for each change, oldest
 * first
 */
public record EvacuationProgress(long fence, List<UpstreamId> stopped, List<ProgressPoint> points) {

	/** Maximum number of points kept; the oldest are dropped. */
	public static final int MAX_POINTS = 2_000;

	/**
	 * Copies the lists.
	 */
	public EvacuationProgress {
		stopped = List.copyOf(stopped);
		points = List.copyOf(points);
	}

	/**
	 * Returns the progress of a plan that has had no lease holder yet.
	 * @return the progress
	 */
	public static EvacuationProgress ofNothing() {
		return new EvacuationProgress(0, List.of(), List.of());
	}

	/**
	 * Returns this progress with a new observation.
	 * @param holderFence the fencing token of the lease holder that made the observation
	 * @param observed the upstreams that are stopped
	 * @param point the number of upstreams that remain
	 * @return the new progress, or this progress if nothing has changed
	 */
	public EvacuationProgress withObservation(long holderFence, Set<UpstreamId> observed, ProgressPoint point) {
		List<UpstreamId> sorted = List.copyOf(new TreeSet<>(observed));
		boolean same = !this.points.isEmpty()
				&& this.points.get(this.points.size() - 1).remaining() == point.remaining();
		if (same && sorted.equals(this.stopped)) {
			return this;
		}
		List<ProgressPoint> extended = new ArrayList<>(this.points);
		extended.add(point);
		return new EvacuationProgress(holderFence, sorted,
				extended.subList(Math.max(0, extended.size() - MAX_POINTS), extended.size()));
	}

}
