package io.bulrushrouter.gateway.admission;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

import io.bulrushrouter.kernel.OrganisationId;

/**
 * Counts the streams in flight by priority and by organisation, so that the log can say
 * who uses the limit. Not thread-safe.
 */
final class RoomHolders {

	/** Number of organisations that are named. */
	private static final int NAMED = 3;

	private final Map<Integer, Integer> byPriority = new TreeMap<>();

	private final Map<OrganisationId, Integer> byOrganisation = new HashMap<>();

	void started(int priority, OrganisationId organisation) {
		add(this.byPriority, priority, 1);
		add(this.byOrganisation, organisation, 1);
	}

	void ended(int priority, OrganisationId organisation) {
		add(this.byPriority, priority, -1);
		add(this.byOrganisation, organisation, -1);
	}

	private static <K> void add(Map<K, Integer> counts, K key, int change) {
		int count = counts.getOrDefault(key, 0) + change;
		if (count > 0) {
			counts.put(key, count);
		}
		else {
			counts.remove(key);
		}
	}

	/**
	 * Describes the streams in flight by priority.
	 * @return a list of priority and count
	 */
	String priorities() {
		StringBuilder text = new StringBuilder();
		for (Map.Entry<Integer, Integer> entry : this.byPriority.entrySet()) {
			append(text, entry);
		}
		return text.toString();
	}

	/**
	 * Describes the organisations with the most streams in flight.
	 * @return a list of organisation and count, the largest first
	 */
	String organisations() {
		StringBuilder text = new StringBuilder();
		Set<OrganisationId> named = new HashSet<>();
		while (named.size() < Math.min(NAMED, this.byOrganisation.size())) {
			Map.Entry<OrganisationId, Integer> largest = null;
			for (Map.Entry<OrganisationId, Integer> entry : this.byOrganisation.entrySet()) {
				boolean larger = largest == null || entry.getValue() > largest.getValue();
				if (larger && !named.contains(entry.getKey())) {
					largest = entry;
				}
			}
			named.add(largest.getKey());
			append(text, largest);
		}
		return text.toString();
	}

	private static void append(StringBuilder text, Map.Entry<?, Integer> entry) {
		text.append(text.isEmpty() ? "" : " ").append(entry.getKey()).append(':').append(entry.getValue());
	}

}
