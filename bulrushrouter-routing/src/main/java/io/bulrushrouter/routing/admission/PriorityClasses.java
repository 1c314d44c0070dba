package io.bulrushrouter.routing.admission;

import java.util.Collection;
import java.util.List;

/**
 * The classes of a service's streams, formed from their priorities. Class 0 is the most
 * urgent one.
 *
 * @param priorities the priorities, one for each class in ascending order; 0 is the most
 * urgent
 */
public record PriorityClasses(List<Integer> priorities) {

	/** One class for all streams. */
	public static final PriorityClasses SINGLE = new PriorityClasses(List.of());

	/**
	 * Share of the longest allowed pause up to which the most urgent class is admitted.
	 */
	static final double MOST_URGENT_SHARE = 0.85;

	/**
	 * Share for the least urgent class. The difference is room that urgent streams find
	 * at every entry without messages between entries.
	 */
	private static final double LEAST_URGENT_SHARE = 0.7;

	/** The priority of an engine's queue that means the least urgent. */
	private static final int MAX_ENGINE_PRIORITY = 9;

	/**
	 * Makes a defensive copy.
	 */
	public PriorityClasses {
		priorities = List.copyOf(priorities);
	}

	/**
	 * Forms the classes.
	 * @param priorities the priorities in use, in any order
	 * @return one class for each priority
	 */
	public static PriorityClasses of(Collection<Integer> priorities) {
		return new PriorityClasses(priorities.stream().distinct().sorted().toList());
	}

	/**
	 * Returns the number of classes.
	 * @return the number, at least 1
	 */
	public int count() {
		return Math.max(1, this.priorities.size());
	}

	/**
	 * Returns the class of a priority.
	 * @param priority the priority
	 * @return the class, that of the next more urgent priority if the priority has none
	 */
	public int indexOf(int priority) {
		int index = 0;
		for (int each = 1; each < this.priorities.size(); each++) {
			if (this.priorities.get(each) <= priority) {
				index = each;
			}
		}
		return index;
	}

	/**
	 * Returns the share of the longest allowed pause up to which a class is admitted.
	 * @param index the class
	 * @return the share
	 */
	public double share(int index) {
		return MOST_URGENT_SHARE - position(index) * (MOST_URGENT_SHARE - LEAST_URGENT_SHARE);
	}

	/**
	 * Returns the priority of a class in an engine's queue.
	 * @param index the class
	 * @return the priority from 0, the most urgent, to 9
	 */
	public int enginePriority(int index) {
		return (int) Math.round(position(index) * MAX_ENGINE_PRIORITY);
	}

	private double position(int index) {
		return (count() > 1) ? (double) index / (count() - 1) : 0;
	}

}
