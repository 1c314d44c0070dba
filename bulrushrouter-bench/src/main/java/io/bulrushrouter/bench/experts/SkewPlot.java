package io.bulrushrouter.bench.experts;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * Renders plots of skew over a day as SVG.
 */
final class SkewPlot {

	private static final int WIDTH = 960;

	private static final int HEIGHT = 260;

	private static final int MARGIN = 50;

	private static final double MAX_SKEW = 2;

	private static final int TICKS_PER_POINT = 10;

	private static final List<String> COLOURS = List.of("#444444", "#c0392b", "#2980b9", "#27ae60", "#8e44ad",
			"#e67e22", "#16a085");

	private final StringBuilder svg = new StringBuilder();

	private int panels;

	private SkewPlot() {
	}

	static SkewPlot of() {
		return new SkewPlot();
	}

	/**
	 * Adds a panel below the existing ones.
	 * @param title the title of the panel
	 * @param names the names of the lines
	 * @param lines the skew at each tick of the day, by line
	 * @return this plot
	 */
	SkewPlot panel(String title, List<String> names, List<double[]> lines) {
		int top = this.panels * (HEIGHT + MARGIN) + MARGIN;
		text(MARGIN, top - 10, title, "#000000");
		for (double skew = 1; skew <= MAX_SKEW; skew += 0.25) {
			int y = y(top, skew);
			line(List.of(point(MARGIN, y), point(WIDTH - MARGIN, y)), "#dddddd");
			text(10, y, String.format(Locale.ROOT, "%.2f", skew), "#000000");
		}
		for (int index = 0; index < lines.size(); index++) {
			String colour = COLOURS.get(index % COLOURS.size());
			curve(top, lines.get(index), colour);
			text(WIDTH - MARGIN - 130, top + 15 + 16 * index, names.get(index), colour);
		}
		this.panels++;
		return this;
	}

	private void curve(int top, double[] values, String colour) {
		List<String> points = new ArrayList<>();
		for (int tick = 0; tick + TICKS_PER_POINT <= values.length; tick += TICKS_PER_POINT) {
			double max = 0;
			for (int index = tick; index < tick + TICKS_PER_POINT; index++) {
				max = Math.max(max, values[index]);
			}
			int x = MARGIN + (int) ((WIDTH - 2L * MARGIN) * tick / values.length);
			points.add(point(x, y(top, max)));
		}
		line(points, colour);
	}

	private static int y(int top, double skew) {
		double part = (Math.min(MAX_SKEW, skew) - 1) / (MAX_SKEW - 1);
		return top + (int) Math.round(HEIGHT * (1 - part));
	}

	private static String point(int x, int y) {
		return x + "," + y;
	}

	private void line(List<String> points, String colour) {
		this.svg.append("<polyline fill=\"none\" stroke=\"").append(colour).append("\" points=\"");
		this.svg.append(String.join(" ", points)).append("\"/>\n");
	}

	private void text(int x, int y, String text, String colour) {
		this.svg.append("<text font-family=\"sans-serif\" font-size=\"12\" x=\"").append(x).append("\" y=\"");
		this.svg.append(y).append("\" fill=\"").append(colour).append("\">").append(text).append("</text>\n");
	}

	String svg() {
		int height = this.panels * (HEIGHT + MARGIN) + MARGIN;
		return "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" + WIDTH + "\" height=\"" + height + "\">\n"
				+ this.svg + "</svg>\n";
	}

}
