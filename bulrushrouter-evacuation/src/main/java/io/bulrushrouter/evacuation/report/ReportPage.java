package io.bulrushrouter.evacuation.report;

import java.util.stream.Collectors;

/**
 * Renders the report as a self-contained HTML page, which loads no other file and needs
 * no network.
 */
final class ReportPage {

	private static final String STYLE = """
			body { font: 15px/1.4 sans-serif; margin: 2em auto; max-width: 70em; padding: 0 1em; color: #222; }
			table { border-collapse: collapse; width: 100%; margin-bottom: 2em; }
			th, td { text-align: left; padding: .25em .6em; border-bottom: 1px solid #ddd; vertical-align: top; }
			.met { color: #1a6b32; } .on-the-way { color: #8a5a00; } .short { color: #b00020; font-weight: bold; }
			svg { width: 100%; height: auto; }
			svg text { font: 12px sans-serif; fill: #444; }
			""";

	private ReportPage() {
	}

	static String html(ShortfallReport report) {
		StringBuilder page = new StringBuilder();
		page.append("<!DOCTYPE html>\n<html lang=\"en\">\n<head>\n<meta charset=\"utf-8\">\n<title>")
			.append(escape("Evacuation " + report.plan()))
			.append("</title>\n<style>\n")
			.append(STYLE)
			.append("</style>\n</head>\n<body>\n<h1>")
			.append(escape("Evacuation " + report.plan()))
			.append("</h1>\n<p>")
			.append(escape(ReportTable.summary(report)))
			.append("</p>\n");
		appendRisks(page, report);
		page.append(BurnDownChart.svg(report.burnDown(), report.date()));
		for (Horizon horizon : Horizon.values()) {
			appendTable(page, report, horizon);
		}
		return page.append("</body>\n</html>\n").toString();
	}

	private static void appendRisks(StringBuilder page, ShortfallReport report) {
		if (!report.risks().isEmpty()) {
			page.append("<h2>Accepted risks</h2>\n<ul>\n");
			report.risks().forEach((risk) -> page.append("<li>").append(escape(risk)).append("</li>\n"));
			page.append("</ul>\n");
		}
	}

	private static void appendTable(StringBuilder page, ShortfallReport report, Horizon horizon) {
		page.append("<h2>").append(escape(ReportTable.heading(report, horizon))).append("</h2>\n<table>\n<tr>");
		ReportTable.HEADINGS.forEach((heading) -> page.append("<th>").append(heading).append("</th>"));
		page.append("</tr>\n");
		report.lines(horizon).forEach((line) -> appendRow(page, line));
		page.append("</table>\n");
	}

	private static void appendRow(StringBuilder page, ReportLine line) {
		String cells = ReportTable.cells(line)
			.stream()
			.map((cell) -> "<td>" + escape(cell) + "</td>")
			.collect(Collectors.joining());
		page.append("<tr class=\"").append(line.status().text()).append("\">").append(cells).append("</tr>\n");
	}

	static String escape(String text) {
		return text.replace("&", "&amp;").replace("<", "&lt;").replace(">", "&gt;").replace("\"", "&quot;");
	}

}
