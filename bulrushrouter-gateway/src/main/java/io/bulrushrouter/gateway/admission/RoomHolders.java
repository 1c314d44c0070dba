package io.bulrushrouter.gateway.admission;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;

import io.bulrushrouter.kernel.OrganisationId;

/**
 * Counts the streams in flight by class and by organisation, so that the log can say who
 * uses the limit. Not thread-safe.
 */
final class RoomHolders {

	/** Number of organisations that are named. */
	private static final int NAMED = 3;

	private final Map<Integer, Integer> byPriority = new TreeMap<>();

	private final Map<OrganisationId, Integer> byOrganisation = new HashMap<>();

	void started(int priority, OrganisationId organisation) {
		this.byPriority.merge(priority, 1, Integer::sum);
		this.byOrganisation.merge(organisation, 1, Integer::sum);
	}

	void ended(int priority, OrganisationId organisation) {
		this.byPriority.computeIfPresent(priority, (key, count) -> (count > 1) ? count - 1 : null);
		this.byOrganisation.computeIfPresent(organisation, (key, count) -> (count > 1) ? count - 1 : null);
	}

	/**
	 * Describes the streams in flight by priority.
	 * @return a list of priority and count
	 */
	String priorities() {
		return this.byPriority.entrySet()
			.stream()
			.map((entry) -> entry.getKey() + ":" + entry.getValue())
			.collect(Collectors.joining(" "));
	}

	/**
	 * Describes the organisations with the most streams in flight.
	 * @return a list of organisation and count, the largest first
	 */
	String organisations() {
		return this.byOrganisation.entrySet()
			.stream()
			.sorted(Map.Entry.<OrganisationId, Integer>comparingByValue(Comparator.reverseOrder())
				.thenComparing(Map.Entry.comparingByKey()))
			.limit(NAMED)
			.map((entry) -> entry.getKey() + ":" + entry.getValue())
			.collect(Collectors.joining(" "));
	}

}
