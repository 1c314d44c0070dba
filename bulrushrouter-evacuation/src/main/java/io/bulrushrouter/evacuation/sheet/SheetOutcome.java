package io.bulrushrouter.evacuation.sheet;

import java.time.LocalDate;
import java.util.List;

import io.bulrushrouter.evacuation.EvacuationState;
import io.bulrushrouter.evacuation.Shortage;

/**
 * What comes of applying a sheet to a state.
 */
public sealed interface SheetOutcome {

	/**
	 * The sheet was applied before, and changes nothing.
	 */
	record Unchanged() implements SheetOutcome {
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

	}

	/**
	 * A sheet of a later day was applied.
	 *
	 * @param sheet the sheet's day
	 * @param applied the later day
	 */
	record StaleDay(LocalDate sheet, LocalDate applied) implements SheetOutcome {
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

	}

	/**
	 * The sheet leaves too little capacity at the end of its day.
	 *
	 * @param shortages every shortage
	 */
	record TooLittleCapacity(List<Shortage> shortages) implements SheetOutcome {

		/**
		 * Copies the list.
		 */
		public TooLittleCapacity {
			shortages = List.copyOf(shortages);
		}

	}

}
