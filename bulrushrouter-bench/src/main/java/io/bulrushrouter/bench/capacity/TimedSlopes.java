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
 * Measures slopes of processor time and allocation over size.
 */
final class TimedSlopes {

	private static final int[] UPSTREAMS = { 100, 200, 400, 600 };

	private static final int[] ORGANISATIONS = { 10, 100, 400, 1600 };

	private static final int[] TOKENS = { 100, 400, 800, 1600 };

	private static final int[] RANKS = { 32, 64, 128, 256 };

	private static final int[] LAYERS = { 8, 16, 32, 58 };

	private static final int[] CLAIMS = { 20, 50, 105, 210 };

	private static final int OPERATIONS = 100_000;

	private static final int FEW_OPERATIONS = 20;

	private static final int BATCHES = 100;

	private static final long EXPERT_BYTES = 44_000_000;

	private final List<LinearFit> fits = new ArrayList<>();

	private TimedSlopes() {
	}

	static List<LinearFit> measureAll() {
		TimedSlopes slopes = new TimedSlopes();
		slopes.addRoutingFits();
		slopes.addStreamFits();
		slopes.addQueueFits();
		slopes.addStateFits();
		slopes.addControlFits();
		return slopes.fits;
	}

	private void addRoutingFits() {
		addTimedFits("a choice (home-set, no probes)", "upstreams of the model", UPSTREAMS, (size) -> {
			EntryRouting routing = EntryRouting.of(size);
			return Cost.of(OPERATIONS, routing::choose);
		});
		addTimedFits("a load report taken in", "upstreams of the model", UPSTREAMS, (size) -> {
			EntryRouting routing = EntryRouting.of(size);
			return Cost.of(OPERATIONS, routing::report);
		});
		addTimedFits("a load report, encoded and decoded", "prefixes in it", new int[] { 1, 4, 16, 64 },
				(size) -> Cost.of(OPERATIONS, () -> EntryRouting.encodeAndDecode(size)));
	}

	private void addStreamFits() {
		addTimedFits("EntryCall, a request", "tokens of the answer", TOKENS,
				(size) -> Cost.of(FEW_OPERATIONS * 10, () -> TokenStream.throughEntry(size)));
		addTimedFits("SidecarCalls, a request", "tokens of the answer", TOKENS,
				(size) -> Cost.of(FEW_OPERATIONS * 10, () -> TokenStream.throughSidecar(size)));
	}

	private void addQueueFits() {
		addTimedFits("FairQueue, a request in and out", "active organisations", ORGANISATIONS, (size) -> {
			QueueLoad load = QueueLoad.of(size);
			return Cost.of(OPERATIONS / 50, load::offerAndDispatch);
		});
	}

	private void addStateFits() {
		addAllocationFit("UpstreamTable built", "upstreams", UPSTREAMS,
				(size) -> UpstreamTable.of(Inventory.upstreams(size, TargetSize.MODELS), CostModel.ofDefaults()));
		addAllocationFit("OrganisationLimits filled", "organisations", ORGANISATIONS, TimedSlopes::limits);
		addTimedFits("Configuration expanded, read and checked", "organisations", ORGANISATIONS, (size) -> {
			byte[] stored = Inventory.configuration(size, TargetSize.SIDECARS).toStored();
			return Cost.of(FEW_OPERATIONS, () -> Configuration.ofStored(stored));
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

	private void addControlFits() {
		addTimedFits("claims of a write interval, all shards", "claims", CLAIMS, (size) -> {
			ClaimLoad home = ClaimLoad.run(Budget.CLAIM_SHARDS, 1);
			return Cost.of(BATCHES, () -> home.claimBatch(size));
		});
		addTimedFits("evacuation, a round's decisions", "upstreams that leave", UPSTREAMS, (size) -> {
			EvacuationScenario plan = EvacuationScenario.of(size);
			return Cost.of(FEW_OPERATIONS, plan::steps);
		});
		addTimedFits("a sheet read and checked", "rows", UPSTREAMS, (size) -> {
			EvacuationScenario plan = EvacuationScenario.of(size);
			return Cost.of(FEW_OPERATIONS, plan::parse);
		});
		addTimedFits("an expert map planned (58 layers, as many experts as ranks)", "ranks", RANKS,
				(size) -> planningCost(TargetSize.LAYERS, size));
		addTimedFits("an expert map planned (256 experts on 256 ranks)", "layers", LAYERS,
				(size) -> planningCost(size, TargetSize.RANKS));
	}

	private static Cost planningCost(int layers, int ranks) {
		PlanRequest request = planRequest(GroupShape.of(layers, ranks, ranks, TargetSize.SLOTS_PER_RANK));
		return Cost.of(1, () -> ExpertPlanners.ofFitted().plan(request));
	}

	private static PlanRequest planRequest(GroupShape shape) {
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

	private void addTimedFits(String name, String size, int[] sizes, Measure<Cost> measure) {
		Cost[] costs = new Cost[sizes[sizes.length - 1] + 1];
		Arrays.stream(sizes).forEach((at) -> costs[at] = measure.measureAt(at));
		this.fits.add(LinearFit.of(name + ", ns", size, sizes, (at) -> costs[at].cpuNanos()));
		this.fits.add(LinearFit.of(name + ", bytes allocated", size, sizes, (at) -> costs[at].allocatedBytes()));
	}

	private void addAllocationFit(String name, String size, int[] sizes, Measure<Object> measure) {
		this.fits.add(LinearFit.of(name + ", bytes allocated", size, sizes,
				(at) -> Cost.allocatedBytesOf(() -> measure.measureAt(at))));
	}

	/**
	 * Takes a measurement at a size.
	 *
	 * @param <T> the type of the measurement
	 */
	@FunctionalInterface
	private interface Measure<T> {

		T measureAt(int size);

	}

}
