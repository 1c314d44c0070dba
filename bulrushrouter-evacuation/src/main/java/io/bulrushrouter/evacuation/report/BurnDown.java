package io.bulrushrouter.evacuation.report;

import java.time.LocalDate;
import java.time.LocalDateTime;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;

import io.bulrushrouter.evacuation.EvacuationPlan;
import io.bulrushrouter.evacuation.Fleet;
import io.bulrushrouter.evacuation.FleetUpstream;
import io.bulrushrouter.evacuation.ProgressPoint;

/**
 * The number of upstreams of a plan that remain over time.
 *
 * @param planned the numbers according to the plan
 * @param actual the observed numbers
 */
public record BurnDown(List<ProgressPoint> planned, List<ProgressPoint> actual) {

	/**
	 * Creates a burn-down with copies of the lists.
	 */
	public BurnDown {
		planned = List.copyOf(planned);
		actual = List.copyOf(actual);
	}

	static BurnDown of(EvacuationPlan plan, Fleet fleet, List<ProgressPoint> progress, ProgressPoint now) {
		List<ProgressPoint> actual = new ArrayList<>(progress);
		actual.add(now);
		return new BurnDown(planned(plan, fleet, actual.get(0).at()), actual);
	}

	private static List<ProgressPoint> planned(EvacuationPlan plan, Fleet fleet, LocalDateTime start) {
		List<FleetUpstream> leaving = plan.leaving(fleet);
		TreeSet<LocalDate> days = new TreeSet<>();
		leaving.forEach((upstream) -> plan.deadline(upstream).ifPresent(days::add));
		List<ProgressPoint> points = new ArrayList<>();
		points.add(new ProgressPoint(start, leaving.size()));
		for (LocalDate day : days) {
			int remaining = (int) leaving.stream()
				.filter((upstream) -> plan.deadline(upstream).orElseThrow().isAfter(day))
				.count();
			points.add(new ProgressPoint(endOf(day), remaining));
		}
		return points;
	}

	static LocalDateTime endOf(LocalDate day) {
		return day.plusDays(1).atStartOfDay();
	}

}
