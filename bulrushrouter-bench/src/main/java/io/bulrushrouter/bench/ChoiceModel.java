package io.bulrushrouter.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;

import org.HdrHistogram.Histogram;

import io.bulrushrouter.kernel.DataCentreId;
import io.bulrushrouter.kernel.ModelId;
import io.bulrushrouter.kernel.OrganisationId;
import io.bulrushrouter.kernel.Priority;
import io.bulrushrouter.kernel.UpstreamId;
import io.bulrushrouter.routing.CostModel;
import io.bulrushrouter.routing.DataCentreDistance;
import io.bulrushrouter.routing.LoadReport;
import io.bulrushrouter.routing.RouteQuery;
import io.bulrushrouter.routing.UpstreamChooser;
import io.bulrushrouter.routing.UpstreamSpec;
import io.bulrushrouter.routing.UpstreamTable;

/**
 * A discrete-event simulation of the queues, prefix caches and delayed load reports of
 * one model's upstreams. The tables, choosers and trackers are the production
 * implementation.
 */
final class ChoiceModel {

	/** Delay of a load report, in milliseconds. */
	static final double REPORT_DELAY_MILLIS = 500;

	/** Fraction of load reports that are lost. */
	static final double REPORT_LOSS_RATIO = 0.1;

	/** Fraction of probes that receive no answer. */
	static final double PROBE_LOSS_RATIO = 0.02;

	/** Time that an entry waits for the answers to its probes, in milliseconds. */
	static final double PROBE_TIMEOUT_MILLIS = 5;

	/** Length of the warm-up that is not counted, in nanoseconds per second of a run. */
	private static final double WARM_UP_NANOS_PER_SECOND = 1e9 / 6;

	/**
	 * Delay that orders a choice after the last answer to its probes, in milliseconds.
	 */
	private static final double CHOICE_DELAY_MILLIS = 0.01;

	private static final ModelId MODEL = ModelId.of("m");

	static final DataCentreDistance DISTANCE = DataCentreDistance.of(0.3, 1.0);

	private static final int DATA_CENTRES = 3;

	private final ChoiceScenario scenario;

	private final UpstreamChooser chooser;

	private final EventScheduler scheduler = new EventScheduler();

	private final SplittableRandom choiceRandom;

	private final SplittableRandom networkRandom;

	private final PromptSource prompts;

	private final List<SimulatedUpstream> upstreams = new ArrayList<>();

	private final List<UpstreamTable> tables = new ArrayList<>();

	private final Histogram firstTokenMicros = new Histogram(3);

	private long probes;

	private long requests;

	private ChoiceModel(ChoiceScenario scenario, Strategy strategy, long seed) {
		this.scenario = scenario;
		this.choiceRandom = new SplittableRandom(seed + 1);
		this.networkRandom = new SplittableRandom(seed + 2);
		this.prompts = new PromptSource(scenario, new SplittableRandom(seed));
		for (int i = 0; i < scenario.upstreams(); i++) {
			double slowness = (i < scenario.slowUpstreams()) ? 3 : 1;
			boolean lying = i >= scenario.upstreams() - scenario.misreportingUpstreams();
			this.upstreams.add(new SimulatedUpstream(spec(i), this.scheduler, slowness, lying));
		}
		List<UpstreamSpec> specs = this.upstreams.stream().map((upstream) -> upstream.spec).toList();
		CostModel costs = strategy.costs();
		for (int i = 0; i < scenario.entries(); i++) {
			this.tables.add(UpstreamTable.of(specs, costs));
		}
		this.chooser = strategy.factory().create(this.upstreams);
	}

	static ChoiceResult run(ChoiceScenario scenario, Strategy strategy, long seed) {
		return new ChoiceModel(scenario, strategy, seed).run();
	}

	private static UpstreamSpec spec(int index) {
		return new UpstreamSpec(UpstreamId.of("u" + index), MODEL, dataCentre(index), Optional.empty(), 1);
	}

	private static DataCentreId dataCentre(int index) {
		return DataCentreId.of("dc" + index % DATA_CENTRES);
	}

	private ChoiceResult run() {
		long end = (long) (this.scenario.seconds() * 1e9);
		for (int i = 0; i < this.upstreams.size(); i++) {
			SimulatedUpstream upstream = this.upstreams.get(i);
			this.scheduler.after(this.scenario.reportIntervalMillis() * i / this.upstreams.size(),
					() -> report(upstream));
		}
		this.scheduler.after(0, this::arrive);
		this.scheduler.runUntil(end);
		double busyRatio = this.upstreams.stream().mapToDouble(SimulatedUpstream::busyMillis).sum()
				/ (this.scenario.seconds() * 1000 * this.upstreams.size());
		double hitRatio = this.upstreams.stream().mapToLong(SimulatedUpstream::cacheHits).sum()
				/ (double) this.upstreams.stream().mapToLong(SimulatedUpstream::servedPrompts).sum();
		return new ChoiceResult(this.firstTokenMicros, busyRatio, hitRatio, this.probes / (double) this.requests);
	}

	private void report(SimulatedUpstream upstream) {
		this.scheduler.after(this.scenario.reportIntervalMillis(), () -> report(upstream));
		if (upstream.misreporting) {
			this.prompts.randomDigests().forEach((digest) -> upstream.tracker.cacheEvent(digest, 1500));
		}
		LoadReport report = upstream.tracker.report(this.prompts.randomDigests(), this.scheduler.nowNanos());
		LoadReport sent = upstream.misreporting ? misreport(report) : report;
		if (this.networkRandom.nextDouble() >= REPORT_LOSS_RATIO) {
			this.scheduler.after(REPORT_DELAY_MILLIS, () -> deliver(upstream, sent));
		}
	}

	private static LoadReport misreport(LoadReport report) {
		return new LoadReport(report.incarnation(), report.sequence(), report.ageNanos(), 0, 0, 0,
				report.millisPerToken(), report.hints());
	}

	private void deliver(SimulatedUpstream upstream, LoadReport report) {
		LoadReport aged = new LoadReport(report.incarnation(), report.sequence(), (long) (REPORT_DELAY_MILLIS * 1e6),
				report.queuedTokens(), report.running(), report.kvUse(), report.millisPerToken(), report.hints());
		this.tables.forEach((table) -> table.reported(upstream.spec.id(), aged, this.scheduler.nowNanos()));
	}

	private void arrive() {
		this.scheduler.after(this.prompts.interArrivalMillis(this.scheduler.nowNanos()), this::arrive);
		int entry = this.choiceRandom.nextInt(this.tables.size());
		PromptSource.DrawnPrompt draw = this.prompts.next(this.scheduler.nowNanos());
		RouteQuery query = new RouteQuery(MODEL, OrganisationId.of("o" + draw.organisation()), Priority.NORMAL,
				draw.digest(), draw.prefixTokens(), draw.tokens(), dataCentre(entry), Set.of());
		this.requests++;
		Arrival arrival = new Arrival(this.requests, this.tables.get(entry), query, this.scheduler.nowNanos());
		List<UpstreamId> probed = this.chooser.probes(query, arrival.table(), this.scheduler.nowNanos(),
				this.choiceRandom);
		this.probes += probed.size();
		sendProbes(arrival, probed);
	}

	private void sendProbes(Arrival arrival, List<UpstreamId> probed) {
		double wait = 0;
		for (UpstreamId id : probed) {
			SimulatedUpstream upstream = find(id);
			double roundTrip = DISTANCE.roundTripMillis(arrival.query().dataCentre(), upstream.spec.dataCentre());
			boolean lost = this.networkRandom.nextDouble() < PROBE_LOSS_RATIO;
			if (!lost) {
				this.scheduler.after(roundTrip / 2, () -> answerProbe(upstream, arrival, roundTrip / 2));
			}
			wait = Math.max(wait, lost ? PROBE_TIMEOUT_MILLIS : roundTrip);
		}
		this.scheduler.after(wait + CHOICE_DELAY_MILLIS, () -> send(arrival));
	}

	private void answerProbe(SimulatedUpstream upstream, Arrival arrival, double oneWay) {
		LoadReport report = upstream.tracker.report(List.of(arrival.query().prefixDigest()), this.scheduler.nowNanos());
		this.scheduler.after(oneWay,
				() -> arrival.table().reported(upstream.spec.id(), report, this.scheduler.nowNanos()));
	}

	private void send(Arrival arrival) {
		RouteQuery query = arrival.query();
		UpstreamId chosen = this.chooser.choose(query, arrival.table(), this.scheduler.nowNanos(), this.choiceRandom)
			.upstream()
			.orElseThrow();
		arrival.table().sent(chosen, query, this.scheduler.nowNanos());
		SimulatedUpstream upstream = find(chosen);
		double oneWay = DISTANCE.roundTripMillis(query.dataCentre(), upstream.spec.dataCentre()) / 2;
		Runnable onFirstToken = () -> this.scheduler.after(oneWay, () -> firstToken(arrival, chosen));
		SimulatedUpstream.Prompt prompt = new SimulatedUpstream.Prompt(arrival.key(), query.prefixDigest(),
				query.prefixTokens(), query.promptTokens(), onFirstToken);
		this.scheduler.after(oneWay, () -> upstream.accept(prompt));
	}

	private void firstToken(Arrival arrival, UpstreamId chosen) {
		long now = this.scheduler.nowNanos();
		arrival.table().firstToken(chosen, arrival.query(), now);
		arrival.table().finished(chosen, arrival.query(), true);
		if (arrival.arrivalNanos() > this.scenario.seconds() * WARM_UP_NANOS_PER_SECOND) {
			this.firstTokenMicros.recordValue((now - arrival.arrivalNanos()) / 1000);
		}
	}

	private SimulatedUpstream find(UpstreamId id) {
		return this.upstreams.get(Integer.parseInt(id.value().substring(1)));
	}

	/**
	 * Creates a chooser, which may read the exact state of the upstreams.
	 */
	@FunctionalInterface
	interface ChooserFactory {

		UpstreamChooser create(List<SimulatedUpstream> upstreams);

	}

	/**
	 * A strategy for choosing an upstream, with the cost model that it uses.
	 *
	 * @param name the row label in the table
	 * @param costs the cost model
	 * @param factory creates the chooser
	 */
	record Strategy(String name, CostModel costs, ChooserFactory factory) {
	}

	/**
	 * A request that arrived at an entry.
	 *
	 * @param key the number of the request
	 * @param table the upstream table of the entry
	 * @param query the routing query of the request
	 * @param arrivalNanos the time of arrival, in nanoseconds
	 */
	private record Arrival(long key, UpstreamTable table, RouteQuery query, long arrivalNanos) {
	}

}
