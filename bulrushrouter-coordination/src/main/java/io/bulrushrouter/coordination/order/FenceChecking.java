package io.bulrushrouter.coordination.order;

import java.util.Locale;

/**
 * Whether an engine refuses commands with an old fencing number.
 */
public enum FenceChecking {

	/** The engine refuses them. */
	CHECKS,

	/** The engine obeys them, so that the sidecar is the only guard. */
	DOES_NOT_CHECK;

	/**
	 * Returns the meaning of a setting. Whatever is not known to check does not.
	 * @param text the setting's text, {@code checks} for an engine that checks
	 * @return the meaning
	 */
	public static FenceChecking of(String text) {
		return "checks".equals(text.strip().toLowerCase(Locale.ROOT)) ? CHECKS : DOES_NOT_CHECK;
	}

}
