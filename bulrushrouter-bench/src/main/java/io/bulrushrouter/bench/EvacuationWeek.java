package io.bulrushrouter.bench;

import java.io.IOException;
import java.io.InputStream;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.LocalDate;
import java.time.LocalDateTime;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Optional;

import io.bulrushrouter.evacuation.Demand;
import io.bulrushrouter.evacuation.reconcile.EvacuationRound;
import io.bulrushrouter.evacuation.report.Horizon;
import io.bulrushrouter.evacuation.report.LineStatus;
import io.bulrushrouter.evacuation.report.ShortfallReport;
import io.bulrushrouter.kernel.OrganisationId;
import io.bulrushrouter.kernel.UpstreamId;
import io.bulrushrouter.standin.FleetStandin;

/**
 * Simulates a week's evacuation of the kitchen firm, day by day, with its sheets, three
 * injected faults and a report of each day.
 */
final class EvacuationWeek implements Experiment {

	private static final UpstreamId SLOW_UPSTREAM = UpstreamId.of("runner-bratislava-1-g1-r0");

	private static final UpstreamId REFUSING_UPSTREAM = UpstreamId.of("runner-bratislava-2-g1-r1");

	private final Path reports;

	private final WeekSimulation simulation = new WeekSimulation();

	private final List<String> sheetRows = new ArrayList<>();

	private final List<String> eveningRows = new ArrayList<>();

	private final List<String> faultRows = new ArrayList<>();

	private boolean oldHolderFenced;

	EvacuationWeek(Path reports) {
		this.reports = reports;
	}

	@Override
	public boolean run(PrintStream out) {
		monday();
		tuesday();
		wednesday();
		thursday();
		ShortfallReport end = friday();
		String page = renderPage(end);
		write("README.md", page);
		out.print(page);
		return boundsHold(end);
	}

	private void monday() {
		applyDailySheet(KitchenFirm.MONDAY);
		reportEvening(KitchenFirm.MONDAY);
	}

	// A request that began before its organisation moved runs past the planned stop time.
	private void tuesday() {
		LocalDate day = KitchenFirm.MONDAY.plusDays(1);
		this.simulation.runUntil(day.atTime(8, 0));
		Demand demand = this.simulation.fleet().demands(OrganisationId.of("kavej-catering")).get(0);
		this.simulation.traffic().beginLongRequest(SLOW_UPSTREAM, demand, day.atTime(14, 10));
		applyDailySheet(day);
		reportFault(day.atTime(13, 30), "a request runs past the hour of its group's stop, until 14:10");
		reportEvening(day);
	}

	// The store is down at the planned stop time, and the holder dies during the outage.
	private void wednesday() {
		LocalDate day = KitchenFirm.MONDAY.plusDays(2);
		applyDailySheet(day);
		applyDailySheet(day);
		this.simulation.runUntil(day.atTime(13, 45));
		this.simulation.storeDown(true);
		reportFault(day.atTime(14, 30), "the store is down from 13:45 to 15:10, and the holder dies at 14:40");
		this.simulation.runUntil(day.atTime(14, 40));
		EvacuationRound old = this.simulation.killHolder();
		this.simulation.runUntil(day.atTime(15, 10));
		this.simulation.storeDown(false);
		int[] writes = new int[1];
		this.simulation.objects().loseAnswers((write) -> ++writes[0] % 2 == 0);
		this.simulation.startNewHolder();
		this.simulation.runUntil(day.atTime(15, 15));
		this.oldHolderFenced = this.simulation.isFenced(old);
		this.simulation.runUntil(day.atTime(16, 0));
		this.simulation.objects().loseAnswers((write) -> false);
		reportEvening(day);
	}

	// An engine refuses to unload until the next morning.
	private void thursday() {
		LocalDate day = KitchenFirm.MONDAY.plusDays(3);
		applyDailySheet(day);
		addSheetRow(day, "Wednesday's sheet again", this.simulation.applySheet(readSheet(day.minusDays(1))));
		this.simulation.runUntil(day.atTime(15, 45));
		this.simulation.standin().refuse(REFUSING_UPSTREAM, Optional.of("an export of its cache is running"));
		reportFault(day.atTime(16, 30), "an engine refuses to unload, until Friday 09:40");
		reportEvening(day);
	}

	private ShortfallReport friday() {
		LocalDate day = KitchenFirm.FRIDAY;
		this.simulation.runUntil(day.atTime(8, 15));
		byte[] whole = readSheet(day);
		addSheetRow(day, "a truncated export", this.simulation.applySheet(Arrays.copyOf(whole, whole.length - 10)));
		applyDailySheet(day);
		this.simulation.runUntil(day.atTime(9, 40));
		this.simulation.standin().refuse(REFUSING_UPSTREAM, Optional.empty());
		ShortfallReport end = reportEvening(day);
		this.simulation.runUntil(day.plusDays(1).atStartOfDay());
		this.simulation.traffic().finishUntil(LocalDateTime.MAX);
		return end;
	}

	private void applyDailySheet(LocalDate day) {
		this.simulation.runUntil(day.atTime(8, 30));
		byte[] file = readSheet(day);
		write(day + "-sheet.csv", new String(file, StandardCharsets.UTF_8));
		addSheetRow(day, "the day's sheet", this.simulation.applySheet(file));
	}

	private void addSheetRow(LocalDate day, String description, String outcome) {
		this.sheetRows
			.add("| " + day + " | " + description + " | " + outcome.replace("|", "/").replace("\n", "<br>") + " |");
	}

	private void reportFault(LocalDateTime at, String description) {
		this.simulation.runUntil(at);
		ShortfallReport report = this.simulation.report();
		String name = at.toLocalDate() + "-upset";
		write(name + ".txt", report.toTable());
		this.faultRows.add("| " + at.toLocalDate() + " | " + description + " | "
				+ report.count(Horizon.NOW, LineStatus.SHORT) + " | "
				+ report.count(Horizon.END_OF_DAY, LineStatus.SHORT) + " | [" + name + "](" + name + ".txt) |");
	}

	private ShortfallReport reportEvening(LocalDate day) {
		this.simulation.runUntil(day.atTime(18, 0));
		ShortfallReport report = this.simulation.report();
		write(day + "-evening.txt", report.toTable());
		write(day + "-evening.json", report.toJson() + "\n");
		write(day + "-evening.html", report.toHtml());
		FleetStandin.Counts counts = this.simulation.standin().counts();
		this.eveningRows
			.add("| " + day + " | " + report.remaining() + " | " + report.count(Horizon.END_OF_DAY, LineStatus.MET)
					+ " | " + report.count(Horizon.END_OF_DAY, LineStatus.ON_THE_WAY) + " | "
					+ report.count(Horizon.END_OF_DAY, LineStatus.SHORT) + " | "
					+ report.count(Horizon.PLAN_DATE, LineStatus.SHORT) + " | " + counts.begun() + " | [report](" + day
					+ "-evening.html) |");
		return report;
	}

	private String renderPage(ShortfallReport end) {
		FleetStandin.Counts counts = this.simulation.standin().counts();
		return String.format(Locale.ROOT,
				"""
						# A week's evacuation of the kitchen firm

						Made by the experiment `evacuation-week`. Two data centres leave: 10 of 15 upstreams.

						| day | sheet | outcome |
						|---|---|---|
						%s

						| day | upset | short now | short at the end of the day | report |
						|---|---|---|---|---|
						%s

						| evening of | upstreams remaining | met | on the way | short | short at the plan's date | requests begun | page |
						|---|---|---|---|---|---|---|---|
						%s

						| at the end | count |
						|---|---|
						| upstreams remaining on %s | %d |
						| requests begun | %d |
						| requests answered | %d |
						| requests cut off | %d |
						| requests that waited for an open upstream | %d |
						| steps that took effect twice | %d |
						| old fencing numbers obeyed | %d |
						| ranks that left before their group was ready | %d |
						| old holder refused after its pause | %s |
						| store calls of the holder in a round of 20 s, on average | %.2f |
						""",
				String.join("\n", this.sheetRows), String.join("\n", this.faultRows),
				String.join("\n", this.eveningRows), end.date(), end.remaining(), counts.begun(), counts.answered(),
				counts.aborted() + this.simulation.traffic().cutOff(), this.simulation.traffic().waited(),
				counts.repeated(), counts.stale() + counts.staleAtEngine(), counts.prematureRanks(),
				this.oldHolderFenced ? "yes" : "no", this.simulation.holderStoreCallsPerRound());
	}

	private boolean boundsHold(ShortfallReport end) {
		FleetStandin.Counts counts = this.simulation.standin().counts();
		boolean intact = counts.violations() == 0 && this.simulation.traffic().cutOff() == 0;
		boolean allAnswered = counts.begun() == counts.answered() && this.simulation.traffic().waited() == 0;
		return intact && allAnswered && end.remaining() == 0 && this.oldHolderFenced;
	}

	private static byte[] readSheet(LocalDate day) {
		String name = "/evacuation-week/" + day + ".csv";
		try (InputStream in = EvacuationWeek.class.getResourceAsStream(name)) {
			return in.readAllBytes();
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	private void write(String name, String text) {
		try {
			Files.createDirectories(this.reports);
			Files.writeString(this.reports.resolve(name), text);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

}
