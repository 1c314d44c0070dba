package io.bulrushrouter.coordination.order;

import java.util.Locale;

/**
 * Whether an engine refuses commands with a stale fencing token.
 */
public enum FenceChecking {

	/** The engine refuses stale commands. */
	CHECKS,

	/** The engine executes stale commands, so only the sidecar protects against them. */
	DOES_NOT_CHECK;

	/**
	 * Parses a setting. Any value other than {@code checks} means that the engine does
	 * not check.
	 * @param text the setting, {@code checks} in any case for an engine that checks
	 * @return the value
	 */
	public static FenceChecking of(String text) {
		return "checks".equals(text.strip().toLowerCase(Locale.ROOT)) ? CHECKS : DOES_NOT_CHECK;
	}

}
