package io.bulrushrouter.evacuation;

import java.time.LocalDate;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeMap;
import java.util.stream.Collectors;

import io.bulrushrouter.kernel.DataCentreId;
import io.bulrushrouter.kernel.OrganisationId;
import io.bulrushrouter.kernel.UpstreamId;

/**
 * What is intended: the plan, and what the last sheet asked for. This is the one object
 * that operators change; each change is one conditional update.
 *
 * @param plan the plan
 * @param sheetDate the day of the last sheet, or empty if none was applied
 * @param sheetDigest the digest of the last sheet's lines, or empty text
 * @param intents what is intended for the upstreams that sheets named, by name
 * @param placements where sheets send organisations, by name
 * @param acceptedShortages shortages that an operator accepted
 * @param risks what an operator accepted with the last sheet, for the report
 * @param history the changes, oldest first
 */
public record EvacuationState(EvacuationPlan plan, Optional<LocalDate> sheetDate, String sheetDigest,
		List<UpstreamIntent> intents, List<Placement> placements, List<Shortage> acceptedShortages, List<String> risks,
		List<Change> history) {

	/** How many changes are kept; the oldest are dropped. */
	public static final int MAX_HISTORY = 500;

	/**
	 * Copies the lists.
	 */
	public EvacuationState {
		Objects.requireNonNull(plan);
		Objects.requireNonNull(sheetDate);
		Objects.requireNonNull(sheetDigest);
		intents = List.copyOf(intents);
		placements = List.copyOf(placements);
		acceptedShortages = List.copyOf(acceptedShortages);
		risks = List.copyOf(risks);
		history = List.copyOf(history);
	}

	/**
	 * Returns the state of a new plan, before any sheet.
	 * @param plan the plan
	 * @param change who made it, when and why
	 * @return the state
	 */
	public static EvacuationState of(EvacuationPlan plan, Change change) {
		return new EvacuationState(plan, Optional.empty(), "", List.of(), List.of(), List.of(), List.of(),
				List.of(change));
	}

	/**
	 * Returns this state with another plan.
	 * @param newPlan the plan
	 * @param change who changed it, when and why
	 * @return the new state
	 */
	public EvacuationState withPlan(EvacuationPlan newPlan, Change change) {
		return new EvacuationState(newPlan, this.sheetDate, this.sheetDigest, this.intents, this.placements,
				this.acceptedShortages, this.risks, append(this.history, change));
	}

	/**
	 * Returns the intended state of an upstream.
	 * @param upstream the upstream
	 * @return the state; running if no sheet named it
	 */
	public EndState intendedState(UpstreamId upstream) {
		return intent(upstream).map(UpstreamIntent::state).orElse(EndState.RUNNING);
	}

	/**
	 * Finds what is intended for an upstream.
	 * @param upstream the upstream
	 * @return the intent, or empty if no sheet named it
	 */
	public Optional<UpstreamIntent> intent(UpstreamId upstream) {
		return this.intents.stream().filter((intent) -> intent.upstream().equals(upstream)).findFirst();
	}

	/**
	 * Returns what is intended for each upstream that sheets named.
	 * @return the intents
	 */
	public Map<UpstreamId, UpstreamIntent> intentsByUpstream() {
		return new TreeMap<>(
				this.intents.stream().collect(Collectors.toMap(UpstreamIntent::upstream, (intent) -> intent)));
	}

	/**
	 * Returns where sheets send organisations.
	 * @return the data centres
	 */
	public Map<OrganisationId, DataCentreId> placementsByOrganisation() {
		return new TreeMap<>(
				this.placements.stream().collect(Collectors.toMap(Placement::organisation, Placement::dataCentre)));
	}

	/**
	 * Tells whether a write took effect, although others may have followed.
	 * @param mark the write's mark
	 * @return whether its change is in the history
	 */
	public boolean containsChange(String mark) {
		return this.history.stream().anyMatch((change) -> change.mark().equals(mark));
	}

	/**
	 * Returns the newest change.
	 * @return the change
	 */
	public Change lastChange() {
		return this.history.get(this.history.size() - 1);
	}

	/**
	 * Returns what differs in another state.
	 * @param other the other state
	 * @return one line for each difference, from this state to the other, and who made
	 * the other
	 */
	public List<String> difference(EvacuationState other) {
		return StateDifference.lines(this, other);
	}

	/**
	 * Returns a history with one more change, without its oldest if it is full.
	 * @param history the changes, oldest first
	 * @param change the change
	 * @return the new history
	 */
	public static List<Change> append(List<Change> history, Change change) {
		List<Change> extended = new ArrayList<>(history);
		extended.add(change);
		return extended.subList(Math.max(0, extended.size() - MAX_HISTORY), extended.size());
	}

}
