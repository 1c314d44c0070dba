package io.bulrushrouter.evacuation.report;

import java.time.LocalDate;
import java.time.LocalDateTime;
import java.util.List;
import java.util.Optional;

import io.bulrushrouter.evacuation.EvacuationJson;
import io.bulrushrouter.evacuation.ProgressPoint;

/**
 * Where reality falls short of what is intended: now, at the end of the day, and at the
 * plan's date.
 *
 * @param plan the plan's name
 * @param at the time of the report, in the building's local time
 * @param date the plan's date
 * @param sheet the day of the last sheet, or empty if none was applied
 * @param cancelled whether the plan was cancelled
 * @param remaining how many upstreams of the plan are not stopped
 * @param lines the lines, by horizon and subject
 * @param risks what an operator accepted with the last sheet
 * @param burnDown how many upstreams remain over time
 */
public record ShortfallReport(String plan, LocalDateTime at, LocalDate date, Optional<LocalDate> sheet,
		boolean cancelled, int remaining, List<ReportLine> lines, List<String> risks, BurnDown burnDown) {

	/**
	 * Copies the lists.
	 */
	public ShortfallReport {
		lines = List.copyOf(lines);
		risks = List.copyOf(risks);
	}

	/**
	 * Makes a report.
	 * @param input what it is made from
	 * @param settings what forecasts rest on
	 * @return the report
	 */
	public static ShortfallReport of(ReportInput input, ForecastSettings settings) {
		int remaining = input.observed().remaining(input.state().plan(), input.fleet());
		BurnDown burnDown = BurnDown.of(input.state().plan(), input.fleet(), input.progress(),
				new ProgressPoint(input.now(), remaining));
		return new ShortfallReport(input.state().plan().name(), input.now(), input.state().plan().date(),
				input.state().sheetDate(), input.state().plan().cancelled(), remaining,
				new ReportLines(input, settings).lines(), input.state().risks(), burnDown);
	}

	/**
	 * Returns the lines of one horizon.
	 * @param horizon the horizon
	 * @return the lines
	 */
	public List<ReportLine> lines(Horizon horizon) {
		return this.lines.stream().filter((line) -> line.horizon() == horizon).toList();
	}

	/**
	 * Counts the lines of one horizon that stand in one way.
	 * @param horizon the horizon
	 * @param status how they stand
	 * @return the count
	 */
	public int count(Horizon horizon, LineStatus status) {
		return (int) lines(horizon).stream().filter((line) -> line.status() == status).count();
	}

	/**
	 * Returns the report as a table in plain text.
	 * @return the table
	 */
	public String toTable() {
		return ReportTable.text(this);
	}

	/**
	 * Returns the report as JSON.
	 * @return the JSON text
	 */
	public String toJson() {
		return EvacuationJson.writePretty(this);
	}

	/**
	 * Returns the report as one HTML page that needs no other file and no network.
	 * @return the page
	 */
	public String toHtml() {
		return ReportPage.html(this);
	}

}
