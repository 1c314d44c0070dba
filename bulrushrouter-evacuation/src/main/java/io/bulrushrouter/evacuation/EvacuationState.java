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
 * The intended state: the plan and the result of the sheets applied to it. This is the
 * only object that operators change; each change is one conditional update.
 *
 * @param plan the plan
 * @param sheetDate the date of the last sheet, or empty if none was applied
 * @param sheetDigest the digest of the last sheet's rows, or an empty string
 * @param intents the intents for the upstreams that sheets named, ordered by name
 * @param placements the data centres to which sheets move organisations, ordered by
 * organisation
 * @param acceptedShortages the shortages that an operator accepted with the last sheet
 * @param risks the contradictions and shortages that an operator accepted with the last
 * sheet, as shown in the report
 * @param history the changes, oldest first
 */
public record EvacuationState(EvacuationPlan plan, Optional<LocalDate> sheetDate, String sheetDigest,
		List<UpstreamIntent> intents, List<Placement> placements, List<Shortage> acceptedShortages, List<String> risks,
		List<Change> history) {

	/** Maximum number of changes kept; the oldest are dropped. */
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
	 * Returns the state of a new plan to which no sheet was applied.
	 * @param plan the plan
	 * @param change the creation of the plan, as its first history entry
	 * @return the state
	 */
	public static EvacuationState of(EvacuationPlan plan, Change change) {
		return new EvacuationState(plan, Optional.empty(), "", List.of(), List.of(), List.of(), List.of(),
				List.of(change));
	}

	/**
	 * Returns this state with another plan.
	 * @param newPlan the new plan
	 * @param change the history entry for the change
	 * @return the new state
	 */
	public EvacuationState withPlan(EvacuationPlan newPlan, Change change) {
		return new EvacuationState(newPlan, this.sheetDate, this.sheetDigest, this.intents, this.placements,
				this.acceptedShortages, this.risks, append(this.history, change));
	}

	/**
	 * Returns the intended state of an upstream.
	 * @param upstream the upstream
	 * @return the state; {@link EndState#RUNNING} if no sheet named the upstream
	 */
	public EndState intendedState(UpstreamId upstream) {
		return intent(upstream).map(UpstreamIntent::state).orElse(EndState.RUNNING);
	}

	/**
	 * Returns the intent for an upstream.
	 * @param upstream the upstream
	 * @return the intent, or empty if no sheet named the upstream
	 */
	public Optional<UpstreamIntent> intent(UpstreamId upstream) {
		return this.intents.stream().filter((intent) -> intent.upstream().equals(upstream)).findFirst();
	}

	/**
	 * Returns the intents by upstream.
	 * @return a new map of the upstreams that sheets named
	 */
	public Map<UpstreamId, UpstreamIntent> intentsByUpstream() {
		return new TreeMap<>(
				this.intents.stream().collect(Collectors.toMap(UpstreamIntent::upstream, (intent) -> intent)));
	}

	/**
	 * Returns the data centres to which sheets move organisations.
	 * @return a new map of data centres by organisation
	 */
	public Map<OrganisationId, DataCentreId> placementsByOrganisation() {
		return new TreeMap<>(
				this.placements.stream().collect(Collectors.toMap(Placement::organisation, Placement::dataCentre)));
	}

	/**
	 * Returns whether the history contains the change of a write. It does if the write
	 * took effect, even if others followed, unless the change was dropped as one of the
	 * oldest.
	 * @param writeId the identifier of the write
	 * @return whether the history contains a change by this write
	 */
	public boolean containsChange(String writeId) {
		return this.history.stream().anyMatch((change) -> change.mark().equals(writeId));
	}

	/**
	 * Returns the newest change.
	 * @return the change
	 */
	public Change lastChange() {
		return this.history.get(this.history.size() - 1);
	}

	/**
	 * Describes the differences between this state and another one.
	 * @param other the other state
	 * @return one line for each difference from this state to the other, followed by the
	 * changes that led to the other state
	 */
	public List<String> difference(EvacuationState other) {
		return StateDifference.lines(this, other);
	}

	/**
	 * Returns a history with one more change, without the oldest one if it is full.
	 * @param history the changes, oldest first
	 * @param change the change to append
	 * @return the new history
	 */
	public static List<Change> append(List<Change> history, Change change) {
		List<Change> extended = new ArrayList<>(history);
		extended.add(change);
		return extended.subList(Math.max(0, extended.size() - MAX_HISTORY), extended.size());
	}

}
