package io.bulrushrouter.bench.capacity;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;

import io.bulrushrouter.daemon.config.Configuration;
import io.bulrushrouter.experts.ExpertMap;
import io.bulrushrouter.experts.GroupShape;
import io.bulrushrouter.experts.planning.ExpertPlanners;
import io.bulrushrouter.experts.planning.PlanProfile;
import io.bulrushrouter.experts.planning.PlanRequest;
import io.bulrushrouter.kernel.ModelId;
import io.bulrushrouter.kernel.OrganisationId;
import io.bulrushrouter.routing.CostModel;
import io.bulrushrouter.routing.Limit;
import io.bulrushrouter.routing.OrganisationLimits;
import io.bulrushrouter.routing.UpstreamTable;

/**
 * Slopes of processor time and allocation.
 */
final class TimedSlopes {

	private static final int[] UPSTREAMS = { 100, 200, 400, 600 };

	private static final int[] ORGANISATIONS = { 10, 100, 400, 1600 };

	private static final int[] TOKENS = { 100, 400, 800, 1600 };

	private static final int[] RANKS = { 32, 64, 128, 256 };

	private static final int[] LAYERS = { 8, 16, 32, 58 };

	private static final int[] CLAIMS = { 20, 50, 105, 210 };

	private static final int LOOPS = 100_000;

	private static final int FEW_LOOPS = 20;

	private static final int BATCHES = 100;

	private static final long EXPERT_BYTES = 44_000_000;

	private final List<Fit> fits = new ArrayList<>();

	private TimedSlopes() {
	}

	static List<Fit> of() {
		TimedSlopes slopes = new TimedSlopes();
		slopes.choices();
		slopes.streams();
		slopes.queue();
		slopes.state();
		slopes.duties();
		return slopes.fits;
	}

	private void choices() {
		timed("a choice (home-set, no probes)", "upstreams of the model", UPSTREAMS, (size) -> {
			RequestPath path = RequestPath.of(size);
			return Cost.of(LOOPS, path::choose);
		});
		timed("a load report taken in", "upstreams of the model", UPSTREAMS, (size) -> {
			RequestPath path = RequestPath.of(size);
			return Cost.of(LOOPS, path::report);
		});
		timed("a load report, encoded and decoded", "prefixes in it", new int[] { 1, 4, 16, 64 },
				(size) -> Cost.of(LOOPS, () -> RequestPath.encodeAndDecode(size)));
	}

	private void streams() {
		timed("EntryCall, a request", "tokens of the answer", TOKENS,
				(size) -> Cost.of(FEW_LOOPS * 10, () -> TokenStream.throughEntry(size)));
		timed("SidecarCalls, a request", "tokens of the answer", TOKENS,
				(size) -> Cost.of(FEW_LOOPS * 10, () -> TokenStream.throughSidecar(size)));
	}

	private void queue() {
		timed("FairQueue, a request in and out", "active organisations", ORGANISATIONS, (size) -> {
			QueueLoad load = QueueLoad.of(size);
			return Cost.of(LOOPS / 50, load::request);
		});
	}

	private void state() {
		built("UpstreamTable built", "upstreams", UPSTREAMS,
				(size) -> UpstreamTable.of(Inventory.upstreams(size, TargetSize.MODELS), CostModel.ofDefaults()));
		built("OrganisationLimits filled", "organisations", ORGANISATIONS, TimedSlopes::limits);
		timed("Configuration expanded, read and checked", "organisations", ORGANISATIONS, (size) -> {
			byte[] stored = Inventory.configuration(size, TargetSize.SIDECARS).toStored();
			return Cost.of(FEW_LOOPS, () -> Configuration.ofStored(stored));
		});
	}

	private static OrganisationLimits limits(int organisations) {
		OrganisationLimits limits = OrganisationLimits.of((organisation, model) -> Optional.of(new Limit(1000)),
				TargetSize.ENTRIES, 1);
		for (int index = 0; index < organisations; index++) {
			limits.admit(OrganisationId.of("organisation-" + index), ModelId.of("model"), 1, 1);
		}
		return limits;
	}

	private void duties() {
		timed("claims of a write interval, all shards", "claims", CLAIMS, (size) -> {
			ClaimHome home = ClaimHome.run(Budget.CLAIM_SHARDS, 1);
			return Cost.of(BATCHES, () -> home.batch(size));
		});
		timed("evacuation, a round's decisions", "upstreams that leave", UPSTREAMS, (size) -> {
			EvacuationPlanOf plan = EvacuationPlanOf.of(size);
			return Cost.of(FEW_LOOPS, plan::steps);
		});
		timed("a sheet read and checked", "rows", UPSTREAMS, (size) -> {
			EvacuationPlanOf plan = EvacuationPlanOf.of(size);
			return Cost.of(FEW_LOOPS, plan::parse);
		});
		timed("an expert map planned (58 layers, as many experts as ranks)", "ranks", RANKS,
				(size) -> planned(TargetSize.LAYERS, size));
		timed("an expert map planned (256 experts on 256 ranks)", "layers", LAYERS,
				(size) -> planned(size, TargetSize.RANKS));
	}

	private static Cost planned(int layers, int ranks) {
		PlanRequest request = plan(GroupShape.of(layers, ranks, ranks, TargetSize.SLOTS));
		return Cost.of(1, () -> ExpertPlanners.ofFitted().plan(request));
	}

	private static PlanRequest plan(GroupShape shape) {
		SplittableRandom random = new SplittableRandom(1);
		double[][] loads = new double[shape.layers()][shape.experts()];
		for (double[] layer : loads) {
			Arrays.setAll(layer, (expert) -> 1 / (0.05 + random.nextDouble()));
		}
		double[] speeds = new double[shape.ranks()];
		Arrays.fill(speeds, 1);
		return new PlanRequest(ExpertMap.ofRoundRobin(1, shape), loads, speeds, new int[shape.ranks()],
				PlanProfile.ofLowSkew(), new PlanRequest.WeightStore(EXPERT_BYTES, 1e12), true, 1e9);
	}

	private void timed(String name, String size, int[] sizes, Measure<Cost> measure) {
		Cost[] costs = new Cost[sizes[sizes.length - 1] + 1];
		Arrays.stream(sizes).forEach((at) -> costs[at] = measure.at(at));
		this.fits.add(Fit.of(name + ", ns", size, sizes, (at) -> costs[at].nanos()));
		this.fits.add(Fit.of(name + ", bytes allocated", size, sizes, (at) -> costs[at].bytes()));
	}

	private void built(String name, String size, int[] sizes, Measure<Object> measure) {
		this.fits.add(Fit.of(name + ", bytes allocated", size, sizes, (at) -> Cost.built(() -> measure.at(at))));
	}

	/**
	 * A measurement at a size.
	 *
	 * @param <T> what is measured
	 */
	@FunctionalInterface
	private interface Measure<T> {

		T at(int size);

	}

}
