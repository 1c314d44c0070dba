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
 * A week's evacuation of the kitchen firm, day by day with its sheets and three upsets,
 * and the report of each day.
 */
final class EvacuationWeek implements Experiment {

	private static final UpstreamId SLOW = UpstreamId.of("runner-bratislava-1-g1-r0");

	private static final UpstreamId REFUSING = UpstreamId.of("runner-bratislava-2-g1-r1");

	private final Path reports;

	private final WeekWorld world = new WeekWorld();

	private final List<String> sheets = new ArrayList<>();

	private final List<String> evenings = new ArrayList<>();

	private final List<String> upsets = new ArrayList<>();

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
		String page = page(end);
		write("README.md", page);
		out.print(page);
		return held(end);
	}

	private void monday() {
		apply(KitchenFirm.MONDAY);
		evening(KitchenFirm.MONDAY);
	}

	// A request that began before its organisation moved runs past the stop's hour.
	private void tuesday() {
		LocalDate day = KitchenFirm.MONDAY.plusDays(1);
		this.world.runUntil(day.atTime(8, 0));
		Demand demand = this.world.fleet().demands(OrganisationId.of("kavej-catering")).get(0);
		this.world.traffic().beginLong(SLOW, demand, day.atTime(14, 10));
		apply(day);
		upset(day.atTime(13, 30), "a request runs past the hour of its group's stop, until 14:10");
		evening(day);
	}

	// The store is down over the stop's hour, and the holder dies meanwhile.
	private void wednesday() {
		LocalDate day = KitchenFirm.MONDAY.plusDays(2);
		apply(day);
		apply(day);
		this.world.runUntil(day.atTime(13, 45));
		this.world.storeDown(true);
		upset(day.atTime(14, 30), "the store is down from 13:45 to 15:10, and the holder dies at 14:40");
		this.world.runUntil(day.atTime(14, 40));
		EvacuationRound old = this.world.killHolder();
		this.world.runUntil(day.atTime(15, 10));
		this.world.storeDown(false);
		int[] writes = new int[1];
		this.world.objects().loseAnswers((write) -> ++writes[0] % 2 == 0);
		this.world.newHolderTakesOver();
		this.world.runUntil(day.atTime(15, 15));
		this.oldHolderFenced = this.world.fenced(old);
		this.world.runUntil(day.atTime(16, 0));
		this.world.objects().loseAnswers((write) -> false);
		evening(day);
	}

	// An engine refuses to unload, until the next morning.
	private void thursday() {
		LocalDate day = KitchenFirm.MONDAY.plusDays(3);
		apply(day);
		sheet(day, "Wednesday's sheet again", this.world.apply(file(day.minusDays(1))));
		this.world.runUntil(day.atTime(15, 45));
		this.world.standin().refuse(REFUSING, Optional.of("an export of its cache is running"));
		upset(day.atTime(16, 30), "an engine refuses to unload, until Friday 09:40");
		evening(day);
	}

	private ShortfallReport friday() {
		LocalDate day = KitchenFirm.FRIDAY;
		this.world.runUntil(day.atTime(8, 15));
		byte[] whole = file(day);
		sheet(day, "a truncated export", this.world.apply(Arrays.copyOf(whole, whole.length - 10)));
		apply(day);
		this.world.runUntil(day.atTime(9, 40));
		this.world.standin().refuse(REFUSING, Optional.empty());
		ShortfallReport end = evening(day);
		this.world.runUntil(day.plusDays(1).atStartOfDay());
		this.world.traffic().finishUntil(LocalDateTime.MAX);
		return end;
	}

	private void apply(LocalDate day) {
		this.world.runUntil(day.atTime(8, 30));
		byte[] file = file(day);
		write(day + "-sheet.csv", new String(file, StandardCharsets.UTF_8));
		sheet(day, "the day's sheet", this.world.apply(file));
	}

	private void sheet(LocalDate day, String what, String outcome) {
		this.sheets.add("| " + day + " | " + what + " | " + outcome.replace("|", "/").replace("\n", "<br>") + " |");
	}

	private void upset(LocalDateTime at, String what) {
		this.world.runUntil(at);
		ShortfallReport report = this.world.report();
		String name = at.toLocalDate() + "-upset";
		write(name + ".txt", report.toTable());
		this.upsets.add("| " + at.toLocalDate() + " | " + what + " | " + report.count(Horizon.NOW, LineStatus.SHORT)
				+ " | " + report.count(Horizon.END_OF_DAY, LineStatus.SHORT) + " | [" + name + "](" + name + ".txt) |");
	}

	private ShortfallReport evening(LocalDate day) {
		this.world.runUntil(day.atTime(18, 0));
		ShortfallReport report = this.world.report();
		write(day + "-evening.txt", report.toTable());
		write(day + "-evening.json", report.toJson() + "\n");
		write(day + "-evening.html", report.toHtml());
		FleetStandin.Counts counts = this.world.standin().counts();
		this.evenings
			.add("| " + day + " | " + report.remaining() + " | " + report.count(Horizon.END_OF_DAY, LineStatus.MET)
					+ " | " + report.count(Horizon.END_OF_DAY, LineStatus.ON_THE_WAY) + " | "
					+ report.count(Horizon.END_OF_DAY, LineStatus.SHORT) + " | "
					+ report.count(Horizon.PLAN_DATE, LineStatus.SHORT) + " | " + counts.begun() + " | [report](" + day
					+ "-evening.html) |");
		return report;
	}

	private String page(ShortfallReport end) {
		FleetStandin.Counts counts = this.world.standin().counts();
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
				String.join("\n", this.sheets), String.join("\n", this.upsets), String.join("\n", this.evenings),
				end.date(), end.remaining(), counts.begun(), counts.answered(),
				counts.aborted() + this.world.traffic().cut(), this.world.traffic().waited(), counts.repeated(),
				counts.stale() + counts.staleAtEngine(), counts.prematureRanks(), this.oldHolderFenced ? "yes" : "no",
				this.world.holderCallsEachRound());
	}

	private boolean held(ShortfallReport end) {
		FleetStandin.Counts counts = this.world.standin().counts();
		boolean whole = counts.violations() == 0 && this.world.traffic().cut() == 0;
		boolean answered = counts.begun() == counts.answered() && this.world.traffic().waited() == 0;
		return whole && answered && end.remaining() == 0 && this.oldHolderFenced;
	}

	private static byte[] file(LocalDate day) {
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
