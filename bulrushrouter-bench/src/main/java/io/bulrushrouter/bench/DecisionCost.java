package io.bulrushrouter.bench;

import java.io.PrintStream;
import java.lang.management.ManagementFactory;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.IntStream;

import com.sun.management.ThreadMXBean;

import io.bulrushrouter.kernel.DataCentreId;
import io.bulrushrouter.kernel.ModelId;
import io.bulrushrouter.kernel.OrganisationId;
import io.bulrushrouter.kernel.Priority;
import io.bulrushrouter.kernel.UpstreamId;
import io.bulrushrouter.routing.Choice;
import io.bulrushrouter.routing.CostModel;
import io.bulrushrouter.routing.HomeSetChooser;
import io.bulrushrouter.routing.LoadReport;
import io.bulrushrouter.routing.PrefixHint;
import io.bulrushrouter.routing.RouteQuery;
import io.bulrushrouter.routing.UpstreamChooser;
import io.bulrushrouter.routing.UpstreamSpec;
import io.bulrushrouter.routing.UpstreamTable;

/**
 * Measures the time and the allocation of one routing decision among 600 upstreams of one
 * model: selecting the upstreams to probe, recording their answers, and choosing.
 */
final class DecisionCost {

	private static final double MAX_MICROS = 20;

	private static final int UPSTREAMS = 600;

	private static final int DECISIONS = 200_000;

	private static final int ROUNDS = 5;

	private static final ModelId MODEL = ModelId.of("m");

	private static final List<PrefixHint> HINTS = List.of(new PrefixHint(1, 1536));

	/** Simulated interval between decisions, 5 per second, in nanoseconds. */
	private static final long DECISION_INTERVAL_NANOS = 200_000_000L;

	private final UpstreamChooser chooser = HomeSetChooser.of(3, 1);

	private final SplittableRandom random = new SplittableRandom(1);

	private final UpstreamTable table;

	private long sink;

	private long sequence = 1;

	private DecisionCost() {
		List<UpstreamSpec> specs = IntStream.range(0, UPSTREAMS)
			.mapToObj((i) -> new UpstreamSpec(UpstreamId.of("u" + i), MODEL, DataCentreId.of("dc" + i % 11),
					Optional.empty(), 1))
			.toList();
		this.table = UpstreamTable.of(specs, CostModel.ofDefaults());
		for (UpstreamSpec spec : specs) {
			LoadReport report = new LoadReport(1, 1, 0, this.random.nextInt(4000), 30, 0.5, 0.06, List.of());
			this.table.reported(spec.id(), report, 0);
		}
	}

	static boolean checkBound(PrintStream out) {
		DecisionCost cost = new DecisionCost();
		Measurement measurement = cost.measure();
		for (int i = 1; i < ROUNDS; i++) {
			measurement = cost.measure();
		}
		out.printf(Locale.ROOT, "a decision among %d upstreams: %.1f us (bound %.0f), %d bytes allocated%n", UPSTREAMS,
				measurement.micros(), MAX_MICROS, measurement.bytes());
		return measurement.micros() < MAX_MICROS;
	}

	private Measurement measure() {
		ThreadMXBean threads = (ThreadMXBean) ManagementFactory.getThreadMXBean();
		long thread = Thread.currentThread().getId();
		long bytes = threads.getThreadAllocatedBytes(thread);
		long start = System.nanoTime();
		for (int i = 0; i < DECISIONS; i++) {
			decide(i);
		}
		double micros = (System.nanoTime() - start) / 1000.0 / DECISIONS;
		return new Measurement(micros, (threads.getThreadAllocatedBytes(thread) - bytes) / DECISIONS);
	}

	private void decide(int number) {
		this.sequence++;
		long now = this.sequence * DECISION_INTERVAL_NANOS;
		RouteQuery query = new RouteQuery(MODEL, OrganisationId.of("o"), Priority.NORMAL, number, 1536, 2000,
				DataCentreId.of("dc0"), Set.of());
		for (UpstreamId probed : this.chooser.probes(query, this.table, now, this.random)) {
			this.table.reported(probed, new LoadReport(1, this.sequence, 0, 900, 30, 0.5, 0.06, HINTS), now);
		}
		Choice choice = this.chooser.choose(query, this.table, now, this.random);
		this.sink += choice.candidates().size();
	}

	/**
	 * The mean cost of a decision in one round.
	 *
	 * @param micros the time per decision, in microseconds
	 * @param bytes the bytes allocated per decision
	 */
	private record Measurement(double micros, long bytes) {
	}

}
