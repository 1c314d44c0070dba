package io.bulrushrouter.evacuation.report;

import java.time.LocalDateTime;
import java.time.LocalTime;
import java.time.format.DateTimeFormatter;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.Collectors;

import io.bulrushrouter.evacuation.ShortfallReason;

/**
 * Renders the report as tables in plain text.
 */
final class ReportTable {

	static final List<String> HEADINGS = List.of("subject", "intended", "observed", "status", "due", "forecast",
			"reason", "detail");

	private static final DateTimeFormatter MINUTE = DateTimeFormatter.ofPattern("yyyy-MM-dd HH:mm");

	private ReportTable() {
	}

	static String text(ShortfallReport report) {
		StringBuilder text = new StringBuilder();
		text.append(summary(report)).append('\n');
		report.risks().forEach((risk) -> text.append("accepted risk: ").append(risk).append('\n'));
		for (Horizon horizon : Horizon.values()) {
			text.append('\n').append(heading(report, horizon)).append('\n');
			text.append(table(report.lines(horizon)));
		}
		return text.toString();
	}

	static String summary(ShortfallReport report) {
		return report.plan() + " at " + time(report.at()) + ": " + report.remaining()
				+ " upstreams remain, to be gone by " + report.date() + "; last sheet "
				+ report.sheet().map(Object::toString).orElse("none") + (report.cancelled() ? "; cancelled" : "");
	}

	static String heading(ShortfallReport report, Horizon horizon) {
		return horizon.text() + ": " + report.count(horizon, LineStatus.MET) + " met, "
				+ report.count(horizon, LineStatus.ON_THE_WAY) + " on the way, "
				+ report.count(horizon, LineStatus.SHORT) + " short";
	}

	static List<String> cells(ReportLine line) {
		return List.of(line.subject(), line.intended(), line.observed(), line.status().text(), time(line.due()),
				time(line.forecast()), line.reason().map(ShortfallReason::text).orElse(""), line.detail());
	}

	private static String table(List<ReportLine> lines) {
		List<List<String>> rows = new ArrayList<>();
		rows.add(HEADINGS);
		lines.forEach((line) -> rows.add(cells(line)));
		return rows.stream().map((row) -> padded(row, rows)).collect(Collectors.joining("\n", "", "\n"));
	}

	private static String padded(List<String> row, List<List<String>> rows) {
		StringBuilder text = new StringBuilder();
		for (int i = 0; i < row.size(); i++) {
			int column = i;
			int width = rows.stream().mapToInt((cells) -> cells.get(column).length()).max().orElse(0);
			text.append(row.get(i)).append(" ".repeat(width - row.get(i).length() + 2));
		}
		return text.toString().stripTrailing();
	}

	private static String time(Optional<LocalDateTime> at) {
		return at.map(ReportTable::time).orElse("");
	}

	// Midnight is written as 24:00 of the day that ends, because deadlines are ends
	// of days.
	private static String time(LocalDateTime at) {
		boolean midnight = at.toLocalTime().equals(LocalTime.MIDNIGHT);
		return midnight ? at.toLocalDate().minusDays(1) + " 24:00" : MINUTE.format(at);
	}

}
