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
 * The outcome of an operation on a plan.
 */
public sealed interface OperationOutcome {

	/**
	 * Returns the stable error code of a failure.
	 * @return the code, or empty if the operation succeeded
	 */
	Optional<ErrorCode> code();

	/**
	 * Returns a description of the outcome for operators.
	 * @return one or more lines
	 */
	String text();

	/**
	 * The operation succeeded, or had already been done.
	 *
	 * @param state the state, with the version that a later change may expect
	 * @param text a description of what was done
	 */
	record Done(VersionedValue<EvacuationState> state, String text) implements OperationOutcome {

		@Override
		public Optional<ErrorCode> code() {
			return Optional.empty();
		}

	}

	/**
	 * The plan is invalid, and nothing was changed.
	 *
	 * @param errors all errors
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
	 * The file of the sheet is malformed, and nothing was changed.
	 *
	 * @param errors all errors, ordered by line and column
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
	 * @param reason the outcome that says why
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
	 * Another operator changed the plan first, and this operation changed nothing.
	 *
	 * @param current the current state
	 * @param difference the differences, one line each
	 */
	record Conflict(VersionedValue<EvacuationState> current, List<String> difference) implements OperationOutcome {

		@Override
		public Optional<ErrorCode> code() {
			return Optional.of(ErrorCode.CONFLICT);
		}

		@Override
		public String text() {
			return "another operator changed the plan first:\n" + String.join("\n", this.difference);
		}

	}

	/**
	 * The plan does not exist.
	 */
	record NotFound() implements OperationOutcome {

		@Override
		public Optional<ErrorCode> code() {
			return Optional.of(ErrorCode.NOT_FOUND);
		}

		@Override
		public String text() {
			return "the plan does not exist";
		}

	}

	/**
	 * The store does not respond.
	 *
	 * @param mayHaveTakenEffect whether the operation may have taken effect nevertheless;
	 * it is safe to retry the same operation
	 * @param reason a description of the failure, for operators
	 */
	record Unavailable(boolean mayHaveTakenEffect, String reason) implements OperationOutcome {

		@Override
		public Optional<ErrorCode> code() {
			return Optional.of(ErrorCode.STORE_UNAVAILABLE);
		}

		@Override
		public String text() {
			return (this.mayHaveTakenEffect ? "may have taken effect; retry the same request: "
					: "nothing was changed: ") + this.reason;
		}

	}

}
