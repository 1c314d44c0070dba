package io.bulrushrouter.evacuation;

import java.util.concurrent.CompletionStage;

import io.bulrushrouter.kernel.store.ObjectKey;
import io.bulrushrouter.kernel.store.ObjectStore;
import io.bulrushrouter.kernel.store.Write;

/**
 * Keeps the intended state of one plan as one object, {@code evacuation/NAME}.
 *
 * <pre>{@code
 * EvacuationStore store = EvacuationStore.of(objects, "hall-3");
 * store.write(read, read.value().withPlan(plan, change), change.mark());
 * }</pre>
 */
public final class EvacuationStore {

	/** The kind of the objects. */
	public static final String KIND = "evacuation";

	private final ConditionalObject<EvacuationState> object;

	private EvacuationStore(ObjectStore objects, String plan) {
		this.object = new ConditionalObject<>(objects, ObjectKey.of(KIND, plan), EvacuationState.class,
				EvacuationState::containsChange, StateDifference::lines);
	}

	/**
	 * Returns the store of one plan.
	 * @param objects the platform's object API
	 * @param plan the plan's name
	 * @return the store
	 */
	public static EvacuationStore of(ObjectStore objects, String plan) {
		return new EvacuationStore(objects, plan);
	}

	/**
	 * Reads the state.
	 * @return the state, absent or unavailable
	 */
	public CompletionStage<ReadOutcome<EvacuationState>> read() {
		return this.object.read();
	}

	/**
	 * Reads the state again; the answer carries the content only if it has changed.
	 * @param known the state as last read
	 * @return the state as it is now, or unavailable
	 */
	public CompletionStage<ReadOutcome<EvacuationState>> refresh(VersionedValue<EvacuationState> known) {
		return this.object.refresh(known);
	}

	/**
	 * Creates the state of a new plan.
	 * @param state the state; the mark of its first change names the write
	 * @return what came of it; a conflict if there is such a plan
	 */
	public CompletionStage<WriteOutcome<EvacuationState>> create(EvacuationState state) {
		return this.object.write(new VersionedValue<>(Write.ABSENT, state), state, state.history().get(0).mark());
	}

	/**
	 * Writes the state if it is still as it was read.
	 * @param read the state as it was read
	 * @param state the new state
	 * @param mark the mark of the change, unique, and in the new state's history
	 * @return what came of it
	 */
	public CompletionStage<WriteOutcome<EvacuationState>> write(VersionedValue<EvacuationState> read,
			EvacuationState state, String mark) {
		return this.object.write(read, state, mark);
	}

}
