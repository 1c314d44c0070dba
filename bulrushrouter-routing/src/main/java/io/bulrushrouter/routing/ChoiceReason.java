package io.bulrushrouter.routing;

import java.util.Locale;

/**
 * Why an upstream was chosen, or none.
 */
public enum ChoiceReason {

	/** The lowest cost among upstreams that were just probed. */
	FRESHEST,

	/** The lowest cost by reports and own requests in flight. */
	LOWEST_COST,

	/** Drawn at random. */
	RANDOM,

	/** The upstream that most likely caches the prompt's prefix. */
	PREFIX,

	/** No upstream is configured for the model. */
	UNKNOWN_MODEL,

	/** All upstreams of the model are leaving, ejected or excluded. */
	NONE_LIVE;

	/**
	 * Returns the reason's text in the decision log.
	 * @return the text, such as {@code lowest-cost}
	 */
	public String text() {
		return name().toLowerCase(Locale.ROOT).replace('_', '-');
	}

}
