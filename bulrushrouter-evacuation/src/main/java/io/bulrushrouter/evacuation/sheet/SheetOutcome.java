package io.bulrushrouter.evacuation.sheet;

import java.time.LocalDate;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import io.bulrushrouter.evacuation.EvacuationState;
import io.bulrushrouter.evacuation.Shortage;

/**
 * The outcome of applying a sheet to a state.
 */
public sealed interface SheetOutcome {

	/**
	 * Returns a description of the outcome for operators.
	 * @return one line, followed by one for each risk, contradiction or shortage
	 */
	String text();

	private static String lines(String first, List<?> others) {
		return Stream.concat(Stream.of(first), others.stream().map(Object::toString)).collect(Collectors.joining("\n"));
	}

	/**
	 * The same sheet was already applied, and the state does not change.
	 */
	record Unchanged() implements SheetOutcome {

		@Override
		public String text() {
			return "unchanged: this sheet was applied before";
		}

	}

	/**
	 * The sheet results in a new state, to be written by one conditional update.
	 *
	 * @param state the new state
	 * @param risks the contradictions and shortages that the operator accepted, one line
	 * each
	 */
	record Applied(EvacuationState state, List<String> risks) implements SheetOutcome {

		/**
		 * Copies the list.
		 */
		public Applied {
			risks = List.copyOf(risks);
		}

		@Override
		public String text() {
			return lines(this.risks.isEmpty() ? "applied" : "applied, with these risks accepted:", this.risks);
		}

	}

	/**
	 * The sheet is refused, since one of a later date was applied.
	 *
	 * @param sheetDate the date of the sheet
	 * @param appliedDate the date of the last applied sheet
	 */
	record StaleDate(LocalDate sheetDate, LocalDate appliedDate) implements SheetOutcome {

		@Override
		public String text() {
			return "refused: the sheet of " + this.appliedDate + " was applied, and this one is of " + this.sheetDate;
		}

	}

	/**
	 * The sheet is refused, since it contradicts the plan.
	 *
	 * @param contradictions all contradictions
	 */
	record Contradicted(List<Contradiction> contradictions) implements SheetOutcome {

		/**
		 * Copies the list.
		 */
		public Contradicted {
			contradictions = List.copyOf(contradictions);
		}

		@Override
		public String text() {
			return lines("refused: the sheet contradicts the plan:", this.contradictions);
		}

	}

	/**
	 * The sheet is refused, since it leaves too little capacity at the end of its day.
	 *
	 * @param shortages all shortages
	 */
	record InsufficientCapacity(List<Shortage> shortages) implements SheetOutcome {

		/**
		 * Copies the list.
		 */
		public InsufficientCapacity {
			shortages = List.copyOf(shortages);
		}

		@Override
		public String text() {
			return lines("refused: the sheet leaves too little capacity:", this.shortages);
		}

	}

}
