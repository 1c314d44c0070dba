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
 * Queues, prefix caches and late reports of one model's upstreams, driven by events. The
 * tables, choosers and trackers are the product's own.
 */
final class ChoiceModel {

	/** Age of a report when it arrives, in milliseconds. */
	static final double REPORT_LAG_MILLIS = 500;

	/** Part of reports that never arrive. */
	static final double REPORT_LOSS = 0.1;

	/** Part of probes that get no answer. */
	static final double PROBE_LOSS = 0.02;

	/** How long an entry waits for the answers to its probes, in milliseconds. */
	static final double PROBE_WAIT_MILLIS = 5;

	/** The part of a run that is not counted, in nanoseconds a second of it. */
	private static final double WARM_UP_NANOS = 1e9 / 6;

	/** Puts a choice after the last answer to its probes, in milliseconds. */
	private static final double EVENT_GAP_MILLIS = 0.01;

	private static final ModelId MODEL = ModelId.of("m");

	static final DataCentreDistance DISTANCE = DataCentreDistance.of(0.3, 1.0);

	private static final int DATA_CENTRES = 3;

	private final ChoiceScenario scenario;

	private final UpstreamChooser chooser;

	private final Schedule schedule = new Schedule();

	private final SplittableRandom choices;

	private final SplittableRandom network;

	private final PromptSource prompts;

	private final List<ModelUpstream> upstreams = new ArrayList<>();

	private final List<UpstreamTable> tables = new ArrayList<>();

	private final Histogram firstTokenMicros = new Histogram(3);

	private long probes;

	private long requests;

	private ChoiceModel(ChoiceScenario scenario, Way way, long seed) {
		this.scenario = scenario;
		this.choices = new SplittableRandom(seed + 1);
		this.network = new SplittableRandom(seed + 2);
		this.prompts = new PromptSource(scenario, new SplittableRandom(seed));
		for (int i = 0; i < scenario.upstreams(); i++) {
			double slowness = (i < scenario.slowUpstreams()) ? 3 : 1;
			boolean lying = i >= scenario.upstreams() - scenario.lyingUpstreams();
			this.upstreams.add(new ModelUpstream(spec(i), this.schedule, slowness, lying));
		}
		List<UpstreamSpec> specs = this.upstreams.stream().map((upstream) -> upstream.spec).toList();
		CostModel costs = way.costs();
		for (int i = 0; i < scenario.entries(); i++) {
			this.tables.add(UpstreamTable.of(specs, costs));
		}
		this.chooser = way.factory().create(this.upstreams);
	}

	static ChoiceResult run(ChoiceScenario scenario, Way way, long seed) {
		return new ChoiceModel(scenario, way, seed).run();
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
			ModelUpstream upstream = this.upstreams.get(i);
			this.schedule.after(this.scenario.reportMillis() * i / this.upstreams.size(), () -> report(upstream));
		}
		this.schedule.after(0, this::arrive);
		this.schedule.run(end);
		double busy = this.upstreams.stream().mapToDouble(ModelUpstream::busyMillis).sum()
				/ (this.scenario.seconds() * 1000 * this.upstreams.size());
		double hits = this.upstreams.stream().mapToLong(ModelUpstream::hits).sum()
				/ (double) this.upstreams.stream().mapToLong(ModelUpstream::served).sum();
		return new ChoiceResult(this.firstTokenMicros, busy, hits, this.probes / (double) this.requests);
	}

	private void report(ModelUpstream upstream) {
		this.schedule.after(this.scenario.reportMillis(), () -> report(upstream));
		if (upstream.lying) {
			this.prompts.someDigests().forEach((digest) -> upstream.tracker.cacheEvent(digest, 1500));
		}
		LoadReport report = upstream.tracker.report(this.prompts.someDigests(), this.schedule.now());
		LoadReport sent = upstream.lying ? lie(report) : report;
		if (this.network.nextDouble() >= REPORT_LOSS) {
			this.schedule.after(REPORT_LAG_MILLIS, () -> deliver(upstream, sent));
		}
	}

	private static LoadReport lie(LoadReport report) {
		return new LoadReport(report.incarnation(), report.sequence(), report.ageNanos(), 0, 0, 0,
				report.millisPerToken(), report.hints());
	}

	private void deliver(ModelUpstream upstream, LoadReport report) {
		LoadReport aged = new LoadReport(report.incarnation(), report.sequence(), (long) (REPORT_LAG_MILLIS * 1e6),
				report.queuedTokens(), report.running(), report.kvUse(), report.millisPerToken(), report.hints());
		this.tables.forEach((table) -> table.reported(upstream.spec.id(), aged, this.schedule.now()));
	}

	private void arrive() {
		this.schedule.after(this.prompts.gapMillis(this.schedule.now()), this::arrive);
		int entry = this.choices.nextInt(this.tables.size());
		PromptSource.Draw draw = this.prompts.next(this.schedule.now());
		RouteQuery query = new RouteQuery(MODEL, OrganisationId.of("o" + draw.organisation()), Priority.NORMAL,
				draw.digest(), draw.prefixTokens(), draw.tokens(), dataCentre(entry), Set.of());
		this.requests++;
		Arrival arrival = new Arrival(this.requests, this.tables.get(entry), query, this.schedule.now());
		List<UpstreamId> probed = this.chooser.probes(query, arrival.table(), this.schedule.now(), this.choices);
		this.probes += probed.size();
		probe(arrival, probed);
	}

	private void probe(Arrival arrival, List<UpstreamId> probed) {
		double wait = 0;
		for (UpstreamId id : probed) {
			ModelUpstream upstream = find(id);
			double roundTrip = DISTANCE.roundTripMillis(arrival.query().dataCentre(), upstream.spec.dataCentre());
			boolean lost = this.network.nextDouble() < PROBE_LOSS;
			if (!lost) {
				this.schedule.after(roundTrip / 2, () -> answer(upstream, arrival, roundTrip / 2));
			}
			wait = Math.max(wait, lost ? PROBE_WAIT_MILLIS : roundTrip);
		}
		this.schedule.after(wait + EVENT_GAP_MILLIS, () -> send(arrival));
	}

	private void answer(ModelUpstream upstream, Arrival arrival, double oneWay) {
		LoadReport report = upstream.tracker.report(List.of(arrival.query().prefixDigest()), this.schedule.now());
		this.schedule.after(oneWay, () -> arrival.table().reported(upstream.spec.id(), report, this.schedule.now()));
	}

	private void send(Arrival arrival) {
		RouteQuery query = arrival.query();
		UpstreamId chosen = this.chooser.choose(query, arrival.table(), this.schedule.now(), this.choices)
			.upstream()
			.orElseThrow();
		arrival.table().sent(chosen, query, this.schedule.now());
		ModelUpstream upstream = find(chosen);
		double oneWay = DISTANCE.roundTripMillis(query.dataCentre(), upstream.spec.dataCentre()) / 2;
		Runnable back = () -> this.schedule.after(oneWay, () -> firstToken(arrival, chosen));
		ModelUpstream.Prompt prompt = new ModelUpstream.Prompt(arrival.key(), query.prefixDigest(),
				query.prefixTokens(), query.promptTokens(), back);
		this.schedule.after(oneWay, () -> upstream.accept(prompt));
	}

	private void firstToken(Arrival arrival, UpstreamId chosen) {
		long now = this.schedule.now();
		arrival.table().firstToken(chosen, arrival.query(), now);
		arrival.table().finished(chosen, arrival.query(), true);
		if (arrival.atNanos() > this.scenario.seconds() * WARM_UP_NANOS) {
			this.firstTokenMicros.recordValue((now - arrival.atNanos()) / 1000);
		}
	}

	private ModelUpstream find(UpstreamId id) {
		return this.upstreams.get(Integer.parseInt(id.value().substring(1)));
	}

	/**
	 * Makes a chooser that may see the exact state.
	 */
	@FunctionalInterface
	interface ChooserFactory {

		UpstreamChooser create(List<ModelUpstream> upstreams);

	}

	/**
	 * A way of choosing, with the cost model that it goes by.
	 *
	 * @param name its name in the table
	 * @param costs the cost model
	 * @param factory makes the chooser
	 */
	record Way(String name, CostModel costs, ChooserFactory factory) {
	}

	/**
	 * A request at an entry.
	 *
	 * @param key its number
	 * @param table the entry's table
	 * @param query the request
	 * @param atNanos when it came
	 */
	private record Arrival(long key, UpstreamTable table, RouteQuery query, long atNanos) {
	}

}
