package io.bulrushrouter.bench.platform;

import java.util.Locale;

/**
 * The roles whose platform calls are counted separately.
 */
enum BudgetRole {

	ENTRY, SIDECAR, RELAY, DUTY_HOLDER;

	String text() {
		return name().toLowerCase(Locale.ROOT).replace('_', ' ');
	}

}
