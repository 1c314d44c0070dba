package io.bulrushrouter.evacuation;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeSet;

/**
 * Describes the differences between two states, for an operator whose change conflicted
 * with another one.
 */
final class StateDifference {

	private final List<String> lines = new ArrayList<>();

	private StateDifference() {
	}

	static List<String> lines(EvacuationState before, EvacuationState after) {
		StateDifference difference = new StateDifference();
		difference.compareValues("sheet", before.sheetDate().orElse(null), after.sheetDate().orElse(null));
		difference.compareValues("plan date", before.plan().date(), after.plan().date());
		difference.compareValues("plan cancelled", before.plan().cancelled(), after.plan().cancelled());
		difference.compareValues("departures", before.plan().departures(), after.plan().departures());
		difference.compareValues("organisations", before.plan().organisations(), after.plan().organisations());
		difference.compareValues("planned stops", before.plan().stops(), after.plan().stops());
		difference.compareMaps("upstream", before.intentsByUpstream(), after.intentsByUpstream());
		difference.compareMaps("organisation", before.placementsByOrganisation(), after.placementsByOrganisation());
		difference.addChanges(before, after);
		return List.copyOf(difference.lines);
	}

	private <K extends Comparable<K>> void compareMaps(String kind, Map<K, ?> before, Map<K, ?> after) {
		TreeSet<K> keys = new TreeSet<>(before.keySet());
		keys.addAll(after.keySet());
		keys.forEach((key) -> compareValues(kind + " " + key, before.get(key), after.get(key)));
	}

	private void compareValues(String name, Object before, Object after) {
		if (!Objects.equals(before, after)) {
			this.lines.add(name + ": " + text(before) + " became " + text(after));
		}
	}

	private static String text(Object value) {
		if (value instanceof UpstreamIntent intent) {
			return intent.state().text() + intent.stopAt().map((at) -> " at " + at).orElse("");
		}
		return (value != null) ? value.toString() : "unset";
	}

	// A state that the writer proposes already contains the newest stored change; this
	// change still says who made the stored state.
	private void addChanges(EvacuationState before, EvacuationState after) {
		if (before.containsChange(after.lastChange().mark())) {
			this.lines.add("last " + after.lastChange().text());
		}
		after.history()
			.stream()
			.filter((change) -> !before.containsChange(change.mark()))
			.forEach((change) -> this.lines.add(change.text()));
	}

}
