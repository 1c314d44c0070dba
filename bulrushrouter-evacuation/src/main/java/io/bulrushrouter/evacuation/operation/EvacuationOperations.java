package io.bulrushrouter.evacuation.operation;

import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Function;

import io.bulrushrouter.evacuation.Change;
import io.bulrushrouter.evacuation.EvacuationPlan;
import io.bulrushrouter.evacuation.EvacuationState;
import io.bulrushrouter.evacuation.EvacuationStore;
import io.bulrushrouter.evacuation.Fleet;
import io.bulrushrouter.evacuation.LeaseHolderStore;
import io.bulrushrouter.evacuation.Placements;
import io.bulrushrouter.evacuation.PlanError;
import io.bulrushrouter.evacuation.ReadOutcome;
import io.bulrushrouter.evacuation.VersionedValue;
import io.bulrushrouter.evacuation.WriteOutcome;
import io.bulrushrouter.evacuation.sheet.MorningSheet;
import io.bulrushrouter.evacuation.sheet.SheetApplier;
import io.bulrushrouter.evacuation.sheet.SheetFormat;
import io.bulrushrouter.evacuation.sheet.SheetOutcome;
import io.bulrushrouter.evacuation.sheet.SheetParseResult;
import io.bulrushrouter.evacuation.sheet.SheetRequest;
import io.bulrushrouter.kernel.DataCentreId;
import io.bulrushrouter.kernel.OrganisationId;
import io.bulrushrouter.kernel.store.ObjectStore;

/**
 * The operations on a plan: create, show, replace and cancel it, and check and apply
 * sheets. Each operation changes the intended state by at most one conditional update.
 *
 * <pre>{@code
 * EvacuationOperations operations = EvacuationOperations.of(fleet, objects, "hall-3");
 * operations.applySheet(bytes, format, change, false).thenAccept((outcome) -> show(outcome.text()));
 * }</pre>
 */
public final class EvacuationOperations {

	private final Fleet fleet;

	private final EvacuationStore store;

	private final LeaseHolderStore<Placements> placements;

	private EvacuationOperations(Fleet fleet, ObjectStore objects, String plan) {
		this.fleet = fleet;
		this.store = EvacuationStore.of(objects, plan);
		this.placements = LeaseHolderStore.ofPlacements(objects, plan);
	}

	/**
	 * Returns the operations on a plan.
	 * @param fleet the inventory
	 * @param objects the platform's object API
	 * @param plan the plan's name
	 * @return the operations
	 */
	public static EvacuationOperations of(Fleet fleet, ObjectStore objects, String plan) {
		return new EvacuationOperations(fleet, objects, plan);
	}

	/**
	 * Creates the plan, after creating the placements if they do not exist.
	 * @param plan the plan
	 * @param currentPlacements the data centre that serves each organisation now
	 * @param change the history entry for the change
	 * @return the outcome; a conflict if the plan already exists
	 */
	public CompletionStage<OperationOutcome> create(EvacuationPlan plan,
			Map<OrganisationId, DataCentreId> currentPlacements, Change change) {
		List<PlanError> errors = plan.validate(this.fleet);
		if (!errors.isEmpty()) {
			return completed(new OperationOutcome.InvalidPlan(errors));
		}
		EvacuationState state = EvacuationState.of(plan, change);
		return this.placements.create(Placements.of(0, currentPlacements), change.mark()).thenCompose((outcome) -> {
			if (outcome instanceof WriteOutcome.Unavailable<Placements> unavailable) {
				return completed(new OperationOutcome.Unavailable(false, unavailable.reason()));
			}
			if (outcome instanceof WriteOutcome.Unknown<Placements> unknown) {
				return completed(new OperationOutcome.Unavailable(false, unknown.reason()));
			}
			return this.store.create(state).thenApply((written) -> outcome(written, "created"));
		});
	}

	/**
	 * Reads the plan with its intended state.
	 * @return the state, or that it is not found or unavailable
	 */
	public CompletionStage<OperationOutcome> show() {
		return withState((read) -> completed(new OperationOutcome.Done(read, "read")));
	}

	/**
	 * Replaces the plan.
	 * @param expectedVersion the version on which the operator's change is based
	 * @param plan the new plan
	 * @param change the history entry for the change
	 * @return the outcome; a conflict if the stored version differs
	 */
	public CompletionStage<OperationOutcome> replace(long expectedVersion, EvacuationPlan plan, Change change) {
		List<PlanError> errors = plan.validate(this.fleet);
		if (!errors.isEmpty()) {
			return completed(new OperationOutcome.InvalidPlan(errors));
		}
		return withState((read) -> {
			EvacuationState next = read.value().withPlan(plan, change);
			if (read.version() != expectedVersion) {
				return completed(new OperationOutcome.Conflict(read, next.difference(read.value())));
			}
			return write(read, next, change, "replaced");
		});
	}

	/**
	 * Cancels the plan, regardless of its version.
	 * @param change the history entry for the change
	 * @return the outcome
	 */
	public CompletionStage<OperationOutcome> cancel(Change change) {
		return withState((read) -> {
			EvacuationPlan plan = read.value().plan();
			if (plan.cancelled()) {
				return completed(new OperationOutcome.Done(read, "already cancelled"));
			}
			return write(read, read.value().withPlan(plan.toBuilder().cancelled(true).build(), change), change,
					"cancelled");
		});
	}

	/**
	 * Checks whether a sheet could be applied, without changing anything.
	 * @param file the CSV file
	 * @param format the format settings of the site
	 * @param change the history entry for the change
	 * @return done if the sheet could be applied now, or the reason why not
	 */
	public CompletionStage<OperationOutcome> checkSheet(byte[] file, SheetFormat format, Change change) {
		return withSheet(file, format, change, false,
				(accepted) -> completed(new OperationOutcome.Done(accepted.read(), "the sheet can be applied")));
	}

	/**
	 * Applies a sheet.
	 * @param file the CSV file
	 * @param format the format settings of the site
	 * @param change the history entry for the change
	 * @param acceptRisk whether contradictions and shortages are accepted
	 * @return the outcome
	 */
	public CompletionStage<OperationOutcome> applySheet(byte[] file, SheetFormat format, Change change,
			boolean acceptRisk) {
		return withSheet(file, format, change, acceptRisk,
				(accepted) -> write(accepted.read(), accepted.applied().state(), change, accepted.applied().text()));
	}

	private CompletionStage<OperationOutcome> withSheet(byte[] file, SheetFormat format, Change change,
			boolean acceptRisk, Function<AcceptedSheet, CompletionStage<OperationOutcome>> action) {
		SheetParseResult result = MorningSheet.parse(file, format, this.fleet);
		if (result instanceof SheetParseResult.Rejected rejected) {
			return completed(new OperationOutcome.InvalidSheet(rejected.errors()));
		}
		MorningSheet sheet = ((SheetParseResult.Parsed) result).sheet();
		return withState((read) -> withPlacements((current) -> {
			SheetOutcome outcome = SheetApplier.of(this.fleet)
				.apply(read.value(), new SheetRequest(sheet, current.byOrganisation(), change, acceptRisk));
			if (outcome instanceof SheetOutcome.Applied applied) {
				return action.apply(new AcceptedSheet(read, applied));
			}
			return completed((outcome instanceof SheetOutcome.Unchanged)
					? new OperationOutcome.Done(read, outcome.text()) : new OperationOutcome.SheetRefused(outcome));
		}));
	}

	private CompletionStage<OperationOutcome> withState(
			Function<VersionedValue<EvacuationState>, CompletionStage<OperationOutcome>> action) {
		return this.store.read().thenCompose((outcome) -> ifFound(outcome, action));
	}

	private CompletionStage<OperationOutcome> withPlacements(
			Function<Placements, CompletionStage<OperationOutcome>> action) {
		return this.placements.read()
			.thenCompose((outcome) -> ifFound(outcome, (stored) -> action.apply(stored.value())));
	}

	private static <T> CompletionStage<OperationOutcome> ifFound(ReadOutcome<T> outcome,
			Function<VersionedValue<T>, CompletionStage<OperationOutcome>> action) {
		if (outcome instanceof ReadOutcome.Found<T> found) {
			return action.apply(found.object());
		}
		return completed((outcome instanceof ReadOutcome.Unavailable<T> unavailable)
				? new OperationOutcome.Unavailable(false, unavailable.reason()) : new OperationOutcome.NotFound());
	}

	private CompletionStage<OperationOutcome> write(VersionedValue<EvacuationState> read, EvacuationState next,
			Change change, String text) {
		return this.store.write(read, next, change.mark()).thenApply((outcome) -> outcome(outcome, text));
	}

	private static OperationOutcome outcome(WriteOutcome<EvacuationState> outcome, String text) {
		if (outcome instanceof WriteOutcome.Written<EvacuationState> written) {
			return new OperationOutcome.Done(written.object(), text);
		}
		if (outcome instanceof WriteOutcome.Conflict<EvacuationState> conflict) {
			return new OperationOutcome.Conflict(conflict.current(), conflict.difference());
		}
		if (outcome instanceof WriteOutcome.Unavailable<EvacuationState> unavailable) {
			return new OperationOutcome.Unavailable(false, unavailable.reason());
		}
		return new OperationOutcome.Unavailable(true, ((WriteOutcome.Unknown<EvacuationState>) outcome).reason());
	}

	private static CompletionStage<OperationOutcome> completed(OperationOutcome outcome) {
		return CompletableFuture.completedFuture(outcome);
	}

	/**
	 * A sheet that can be applied.
	 *
	 * @param read the state as it was read
	 * @param applied the outcome with the new state
	 */
	private record AcceptedSheet(VersionedValue<EvacuationState> read, SheetOutcome.Applied applied) {
	}

}
