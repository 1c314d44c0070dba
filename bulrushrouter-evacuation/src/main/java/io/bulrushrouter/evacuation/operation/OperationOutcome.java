package io.bulrushrouter.evacuation.operation;

import java.util.List;
import java.util.Optional;
import java.util.stream.Collectors;

import io.bulrushrouter.evacuation.EvacuationState;
import io.bulrushrouter.evacuation.PlanError;
import io.bulrushrouter.evacuation.VersionedValue;
import io.bulrushrouter.evacuation.sheet.SheetError;
import io.bulrushrouter.evacuation.sheet.SheetOutcome;
import io.bulrushrouter.kernel.ErrorCode;

/**
 * What came of an operator's act.
 */
public sealed interface OperationOutcome {

	/**
	 * Returns the stable code of a failure.
	 * @return the code, or empty if the act is done
	 */
	Optional<ErrorCode> code();

	/**
	 * Returns the outcome for a person.
	 * @return one or more lines
	 */
	String text();

	/**
	 * The act is done, or was done before.
	 *
	 * @param state the state, with the version that a later change may name
	 * @param text what was done
	 */
	record Done(VersionedValue<EvacuationState> state, String text) implements OperationOutcome {

		@Override
		public Optional<ErrorCode> code() {
			return Optional.empty();
		}

	}

	/**
	 * The plan is malformed, and nothing was changed.
	 *
	 * @param errors every error
	 */
	record InvalidPlan(List<PlanError> errors) implements OperationOutcome {

		@Override
		public Optional<ErrorCode> code() {
			return Optional.of(ErrorCode.BAD_REQUEST);
		}

		@Override
		public String text() {
			return this.errors.stream()
				.map((error) -> error.path() + ": " + error.message())
				.collect(Collectors.joining("\n"));
		}

	}

	/**
	 * The sheet's file is malformed, and nothing was changed.
	 *
	 * @param errors every error, by line and column
	 */
	record InvalidSheet(List<SheetError> errors) implements OperationOutcome {

		@Override
		public Optional<ErrorCode> code() {
			return Optional.of(ErrorCode.BAD_SHEET);
		}

		@Override
		public String text() {
			return this.errors.stream().map(SheetError::toString).collect(Collectors.joining("\n"));
		}

	}

	/**
	 * The sheet is refused, and nothing was changed.
	 *
	 * @param reason why
	 */
	record SheetRefused(SheetOutcome reason) implements OperationOutcome {

		@Override
		public Optional<ErrorCode> code() {
			return Optional.of((this.reason instanceof SheetOutcome.StaleDate) ? ErrorCode.STALE_SHEET
					: ErrorCode.PLAN_CONTRADICTED);
		}

		@Override
		public String text() {
			return this.reason.text();
		}

	}

	/**
	 * Somebody else changed the plan first, and nothing was changed.
	 *
	 * @param current the state as it is now
	 * @param difference what differs, one line each
	 */
	record Conflict(VersionedValue<EvacuationState> current, List<String> difference) implements OperationOutcome {

		@Override
		public Optional<ErrorCode> code() {
			return Optional.of(ErrorCode.CONFLICT);
		}

		@Override
		public String text() {
			return "somebody else changed the plan first:\n" + String.join("\n", this.difference);
		}

	}

	/**
	 * There is no such plan.
	 */
	record NotFound() implements OperationOutcome {

		@Override
		public Optional<ErrorCode> code() {
			return Optional.of(ErrorCode.NOT_FOUND);
		}

		@Override
		public String text() {
			return "there is no such plan";
		}

	}

	/**
	 * The store does not answer.
	 *
	 * @param mayHaveTakenEffect whether the act may have taken effect all the same; the
	 * same act may be sent again
	 * @param reason details for a person
	 */
	record Unavailable(boolean mayHaveTakenEffect, String reason) implements OperationOutcome {

		@Override
		public Optional<ErrorCode> code() {
			return Optional.of(ErrorCode.STORE_UNAVAILABLE);
		}

		@Override
		public String text() {
			return (this.mayHaveTakenEffect ? "may have taken effect; send it again: " : "nothing was changed: ")
					+ this.reason;
		}

	}

}
