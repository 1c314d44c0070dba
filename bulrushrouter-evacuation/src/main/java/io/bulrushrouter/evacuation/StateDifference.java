package io.bulrushrouter.evacuation;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeSet;

/**
 * What differs between two states, for an operator who lost a race.
 */
final class StateDifference {

	private final List<String> lines = new ArrayList<>();

	private StateDifference() {
	}

	static List<String> lines(EvacuationState before, EvacuationState after) {
		StateDifference difference = new StateDifference();
		difference.value("sheet", before.sheetDate().orElse(null), after.sheetDate().orElse(null));
		difference.value("plan date", before.plan().date(), after.plan().date());
		difference.value("plan cancelled", before.plan().cancelled(), after.plan().cancelled());
		difference.value("departures", before.plan().departures(), after.plan().departures());
		difference.value("organisations", before.plan().organisations(), after.plan().organisations());
		difference.value("planned stops", before.plan().stops(), after.plan().stops());
		difference.map("upstream", before.intentsByUpstream(), after.intentsByUpstream());
		difference.map("organisation", before.placementsByOrganisation(), after.placementsByOrganisation());
		difference.changes(before, after);
		return List.copyOf(difference.lines);
	}

	private <K extends Comparable<K>> void map(String kind, Map<K, ?> before, Map<K, ?> after) {
		TreeSet<K> keys = new TreeSet<>(before.keySet());
		keys.addAll(after.keySet());
		keys.forEach((key) -> value(kind + " " + key, before.get(key), after.get(key)));
	}

	private void value(String name, Object before, Object after) {
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

	// Of a difference from what was wanted, the last change says who made it.
	private void changes(EvacuationState before, EvacuationState after) {
		if (before.holds(after.lastChange().mark())) {
			this.lines.add("last " + after.lastChange().text());
		}
		after.history()
			.stream()
			.filter((change) -> !before.holds(change.mark()))
			.forEach((change) -> this.lines.add(change.text()));
	}

}
