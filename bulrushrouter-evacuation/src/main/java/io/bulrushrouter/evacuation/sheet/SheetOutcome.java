package io.bulrushrouter.evacuation.sheet;

import java.time.LocalDate;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import io.bulrushrouter.evacuation.EvacuationState;
import io.bulrushrouter.evacuation.Shortage;

/**
 * What comes of applying a sheet to a state.
 */
public sealed interface SheetOutcome {

	/**
	 * Returns the outcome for a person.
	 * @return one line, and one more for each risk, contradiction or shortage
	 */
	String text();

	private static String lines(String first, List<?> others) {
		return Stream.concat(Stream.of(first), others.stream().map(Object::toString)).collect(Collectors.joining("\n"));
	}

	/**
	 * The sheet was applied before, and changes nothing.
	 */
	record Unchanged() implements SheetOutcome {

		@Override
		public String text() {
			return "unchanged: this sheet was applied before";
		}

	}

	/**
	 * The sheet gives a new state, to be written by one conditional update.
	 *
	 * @param state the new state
	 * @param risks what the operator accepted, one line each
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
	 * A sheet of a later day was applied.
	 *
	 * @param sheetDate the sheet's day
	 * @param appliedDate the later day
	 */
	record StaleDate(LocalDate sheetDate, LocalDate appliedDate) implements SheetOutcome {

		@Override
		public String text() {
			return "refused: the sheet of " + this.appliedDate + " was applied, and this one is of " + this.sheetDate;
		}

	}

	/**
	 * The sheet contradicts the plan.
	 *
	 * @param contradictions every contradiction
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
	 * The sheet leaves too little capacity at the end of its day.
	 *
	 * @param shortages every shortage
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
