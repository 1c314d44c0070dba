package io.bulrushrouter.evacuation.report;

import java.time.Duration;
import java.time.LocalDate;
import java.time.LocalDateTime;
import java.util.List;
import java.util.Locale;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import io.bulrushrouter.evacuation.ProgressPoint;

/**
 * Draws a burn-down as inline SVG: the planned numbers as a dashed step line, the
 * observed ones as a solid one.
 */
final class BurnDownChart {

	// Sizes are in units of the SVG view box.
	private static final int WIDTH = 800;

	private static final int HEIGHT = 300;

	private static final int MARGIN = 40;

	private final BurnDown burnDown;

	private final LocalDateTime start;

	private final LocalDateTime end;

	private final int maxRemaining;

	private BurnDownChart(BurnDown burnDown, LocalDate date) {
		this.burnDown = burnDown;
		this.start = burnDown.actual().get(0).at().toLocalDate().atStartOfDay();
		LocalDateTime lastObserved = burnDown.actual().get(burnDown.actual().size() - 1).at();
		LocalDateTime plannedEnd = BurnDown.endOf(date);
		this.end = lastObserved.isAfter(plannedEnd) ? lastObserved : plannedEnd;
		this.maxRemaining = Stream.concat(burnDown.planned().stream(), burnDown.actual().stream())
			.mapToInt(ProgressPoint::remaining)
			.max()
			.orElse(1);
	}

	static String svg(BurnDown burnDown, LocalDate date) {
		return new BurnDownChart(burnDown, date).svg();
	}

	private String svg() {
		return "<svg viewBox=\"0 0 " + WIDTH + " " + HEIGHT + "\" role=\"img\" aria-label=\"Burn-down\">\n" + axes()
				+ stepLine(this.burnDown.planned(), "#888", "6 4") + stepLine(this.burnDown.actual(), "#0b5cad", "none")
				+ "<text x=\"" + (WIDTH - MARGIN) + "\" y=\"20\" text-anchor=\"end\">"
				+ "upstreams remaining: solid observed, dashed planned</text>\n</svg>\n";
	}

	private String axes() {
		StringBuilder axes = new StringBuilder();
		axes.append(straightLine(MARGIN, HEIGHT - MARGIN, WIDTH - MARGIN, HEIGHT - MARGIN));
		axes.append(straightLine(MARGIN, MARGIN, MARGIN, HEIGHT - MARGIN));
		axes.append(label(MARGIN - 6, y(this.maxRemaining), "end", Integer.toString(this.maxRemaining)));
		axes.append(label(MARGIN - 6, y(0), "end", "0"));
		long days = Math.max(1, Duration.between(this.start, this.end).toDays());
		long stride = 1 + days / 10;
		for (long day = 0; day <= days; day += stride) {
			LocalDateTime at = this.start.plusDays(day);
			axes.append(straightLine(x(at), HEIGHT - MARGIN, x(at), HEIGHT - MARGIN + 5));
			axes.append(label(x(at), HEIGHT - MARGIN + 20, "middle", at.toLocalDate().toString()));
		}
		return axes.toString();
	}

	// Draws a step line, in which each count holds until the next point.
	private String stepLine(List<ProgressPoint> points, String colour, String dashArray) {
		String path = points.stream()
			.map((point) -> number(x(point.at())) + " V" + number(y(point.remaining())))
			.collect(Collectors.joining(" H",
					"M" + number(x(points.get(0).at())) + " " + number(y(points.get(0).remaining())) + " H", ""));
		return "<path d=\"" + path + "\" fill=\"none\" stroke=\"" + colour + "\" stroke-width=\"2\" stroke-dasharray=\""
				+ dashArray + "\"/>\n";
	}

	private static String straightLine(double x1, double y1, double x2, double y2) {
		return "<line x1=\"" + number(x1) + "\" y1=\"" + number(y1) + "\" x2=\"" + number(x2) + "\" y2=\"" + number(y2)
				+ "\" stroke=\"#444\"/>\n";
	}

	private static String label(double x, double y, String anchor, String text) {
		return "<text x=\"" + number(x) + "\" y=\"" + number(y) + "\" text-anchor=\"" + anchor + "\">" + text
				+ "</text>\n";
	}

	private double x(LocalDateTime at) {
		double totalSeconds = Duration.between(this.start, this.end).toSeconds();
		double elapsedSeconds = Duration.between(this.start, at).toSeconds();
		return MARGIN + (WIDTH - 2.0 * MARGIN) * elapsedSeconds / Math.max(1, totalSeconds);
	}

	private double y(int remaining) {
		return HEIGHT - MARGIN - (HEIGHT - 2.0 * MARGIN) * remaining / Math.max(1, this.maxRemaining);
	}

	private static String number(double value) {
		return String.format(Locale.ROOT, "%.1f", value);
	}

}
