package io.bulrushrouter.evacuation;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

import io.bulrushrouter.kernel.UpstreamId;

/**
 * What holders of a plan have seen, kept apart from what operators intend, so that the
 * two never conflict.
 *
 * @param fence the highest fencing number that changed it
 * @param stopped upstreams that were seen stopped, by name: a stopped upstream may have
 * nobody left to answer for it
 * @param points how many upstreams remained, one point for each change, oldest first
 */
public record EvacuationProgress(long fence, List<UpstreamId> stopped, List<ProgressPoint> points) {

	/** How many points are kept; the oldest are dropped. */
	public static final int MAX_POINTS = 2_000;

	/**
	 * Copies the lists.
	 */
	public EvacuationProgress {
		stopped = List.copyOf(stopped);
		points = List.copyOf(points);
	}

	/**
	 * Returns the progress of a plan that nobody has held yet.
	 * @return the progress
	 */
	public static EvacuationProgress ofNothing() {
		return new EvacuationProgress(0, List.of(), List.of());
	}

	/**
	 * Returns this progress with what was seen now.
	 * @param holderFence the fencing number of the one who saw it
	 * @param observed the upstreams that are stopped
	 * @param point how many remain
	 * @return the progress; the same if nothing has changed
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
