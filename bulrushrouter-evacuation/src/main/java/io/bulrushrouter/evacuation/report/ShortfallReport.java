package io.bulrushrouter.evacuation.report;

import java.time.LocalDate;
import java.time.LocalDateTime;
import java.util.List;
import java.util.Optional;

import io.bulrushrouter.evacuation.EvacuationJson;
import io.bulrushrouter.evacuation.ProgressPoint;

/**
 * A report of where the observed state falls short of the intended one: now, at the end
 * of the day, and at the date of the plan.
 *
 * @param plan the name of the plan
 * @param at the time of the report, in the local time of the building
 * @param date the date of the plan
 * @param sheet the day of the last sheet, or empty if none was applied
 * @param cancelled whether the plan was cancelled
 * @param remaining the number of upstreams of the plan that are not stopped
 * @param lines the lines, sorted by horizon and subject
 * @param risks the risks that an operator accepted with the last sheet
 * @param burnDown the number of upstreams that remain over time
 */
public record ShortfallReport(String plan, LocalDateTime at, LocalDate date, Optional<LocalDate> sheet,
		boolean cancelled, int remaining, List<ReportLine> lines, List<String> risks, BurnDown burnDown) {

	/**
	 * Creates a report with copies of the lists.
	 */
	public ShortfallReport {
		lines = List.copyOf(lines);
		risks = List.copyOf(risks);
	}

	/**
	 * Creates a report.
	 * @param input the input of the report
	 * @param settings the assumptions behind forecasts
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
	 * Counts the lines of one horizon that have a given status.
	 * @param horizon the horizon
	 * @param status the status
	 * @return the count
	 */
	public int count(Horizon horizon, LineStatus status) {
		return (int) lines(horizon).stream().filter((line) -> line.status() == status).count();
	}

	/**
	 * Returns the report as plain text, with a table for each horizon.
	 * @return the text
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
	 * Returns the report as a self-contained HTML page.
	 * @return the page
	 */
	public String toHtml() {
		return ReportPage.html(this);
	}

}
