package io.bulrushrouter.gateway.source;

import java.util.concurrent.CompletionStage;

import io.bulrushrouter.gateway.quarantine.CrashReport;

/**
 * Keeps the reports by which entries tell each other what they have seen of crashes, one
 * for each entry. The returned stages never complete exceptionally.
 */
public interface CrashReportStore {

	/**
	 * Replaces the report of an entry.
	 * @param instance the entry's name
	 * @param report the report
	 * @return whether the store accepted it
	 */
	CompletionStage<Boolean> write(String instance, CrashReport report);

	/**
	 * Returns the feed of all reports, by the names of their entries.
	 * @return the feed
	 */
	Feed<CrashReport> reports();

}
