package io.bulrushrouter.routing;

import java.util.Locale;

/**
 * The reason for choosing an upstream, or none.
 */
public enum ChoiceReason {

	/** The lowest cost among the upstreams with fresh reports. */
	FRESHEST,

	/** The lowest cost by the last reports and the entry's own requests in flight. */
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
	 * Returns the reason in lower case, with hyphens.
	 * @return the text, such as {@code lowest-cost}
	 */
	public String text() {
		return name().toLowerCase(Locale.ROOT).replace('_', '-');
	}

}
