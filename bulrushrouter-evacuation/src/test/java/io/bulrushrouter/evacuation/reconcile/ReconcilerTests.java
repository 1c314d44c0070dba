package io.bulrushrouter.evacuation.reconcile;

import java.time.Duration;
import java.time.LocalDateTime;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.stream.Stream;

import org.junit.jupiter.api.Test;

import io.bulrushrouter.evacuation.Demand;
import io.bulrushrouter.evacuation.EndState;
import io.bulrushrouter.evacuation.EvacuationState;
import io.bulrushrouter.evacuation.Fleet;
import io.bulrushrouter.evacuation.FleetUpstream;
import io.bulrushrouter.evacuation.Placement;
import io.bulrushrouter.evacuation.ShortReason;
import io.bulrushrouter.evacuation.Shortage;
import io.bulrushrouter.evacuation.TestFleet;
import io.bulrushrouter.evacuation.UpstreamIntent;
import io.bulrushrouter.kernel.DataCentreId;
import io.bulrushrouter.kernel.GroupId;
import io.bulrushrouter.kernel.ModelId;
import io.bulrushrouter.kernel.OrganisationId;
import io.bulrushrouter.kernel.UpstreamId;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests for {@link Reconciler}.
 */
class ReconcilerTests {

	private static final UpstreamId BOOKING = UpstreamId.of("booking-old");

	private static final UpstreamId RANK_0 = UpstreamId.of("rank-0-old");

	private static final UpstreamId RANK_1 = UpstreamId.of("rank-1-old");

	private static final LocalDateTime STOP = TestFleet.DAY.atTime(14, 0);

	private static final Map<OrganisationId, DataCentreId> MOVED = Map.of(TestFleet.FIRST, TestFleet.NEW,
			TestFleet.SECOND, TestFleet.NEW);

	private Map<OrganisationId, DataCentreId> placements = MOVED;

	private Map<OrganisationId, DataCentreId> moves = MOVED;

	private List<Shortage> accepted = List.of();

	private ReconcilePolicy policy = ReconcilePolicy.ofDefaults();

	private final Map<UpstreamId, ObservedUpstream> observedUpstreams = new TreeMap<>();

	ReconcilerTests() {
		TestFleet.FLEET.upstreams().stream().map(FleetUpstream::id).forEach((id) -> observe(id, Phase.RUNNING, 0));
	}

	private void observe(UpstreamId id, Phase phase, int inFlight) {
		this.observedUpstreams.put(id, new ObservedUpstream(id, phase, inFlight, Optional.empty()));
	}

	private EvacuationState state() {
		List<UpstreamIntent> intents = Stream.of(BOOKING, RANK_0, RANK_1)
			.map((id) -> new UpstreamIntent(id, EndState.GONE, Optional.of(STOP)))
			.toList();
		List<Placement> to = this.moves.entrySet()
			.stream()
			.map((move) -> new Placement(move.getKey(), move.getValue()))
			.toList();
		return new EvacuationState(TestFleet.plan(), Optional.of(TestFleet.DAY), "x", intents, to, this.accepted,
				List.of(), List.of());
	}

	private List<Step> steps(LocalDateTime now) {
		return steps(now, new Observation(this.observedUpstreams, this.placements, true));
	}

	private List<Step> steps(LocalDateTime now, Observation observed) {
		return Reconciler.of(TestFleet.FLEET, this.policy).steps(state(), observed, now, 7);
	}

	private static List<String> describe(List<Step> steps) {
		return steps.stream()
			.map((step) -> (step instanceof Step.Order order) ? order.name() + " " + order.subject()
					: "hold " + step.subject() + " " + reason(step))
			.toList();
	}

	private static String reason(Step step) {
		ShortReason reason = (step instanceof Step.HoldStop hold) ? hold.reason() : ((Step.HoldMove) step).reason();
		return reason.text();
	}

	@Test
	void movesOneOrganisationAtATimeInThePlansOrder() {
		this.placements = TestFleet.placements();
		assertThat(describe(steps(STOP.minusHours(1)))).containsExactly("move-organisation organisation/zeta");
		this.placements = Map.of(TestFleet.FIRST, TestFleet.NEW, TestFleet.SECOND, TestFleet.OLD);
		assertThat(describe(steps(STOP.minusHours(1)))).containsExactly("move-organisation organisation/alpha");
	}

	@Test
	void holdsAMoveThatExceedsTheDestinationsCapacity() {
		this.placements = TestFleet.placements();
		observe(UpstreamId.of("booking-new"), Phase.LEAVING, 0);
		assertThat(describe(steps(STOP.minusHours(1)))).containsExactly("hold organisation/zeta no-capacity");
	}

	@Test
	void closesGatesNoEarlierThanTheDrainLead() {
		assertThat(steps(STOP.minusMinutes(11))).isEmpty();
		assertThat(describe(steps(STOP.minusMinutes(10)))).containsExactly("set-leaving upstream/rank-0-old",
				"set-leaving upstream/rank-1-old", "set-leaving upstream/booking-old");
		assertThat(steps(STOP).stream().map(Step::fence).distinct().toList()).containsExactly(7L);
	}

	@Test
	void stopsNoEarlierThanTheStopTime() {
		observe(BOOKING, Phase.UNLOADED, 0);
		observe(RANK_0, Phase.UNLOADED, 0);
		observe(RANK_1, Phase.UNLOADED, 0);
		assertThat(steps(STOP.minusNanos(1))).isEmpty();
		assertThat(describe(steps(STOP))).containsExactly("stop-upstream upstream/rank-0-old",
				"stop-upstream upstream/rank-1-old", "stop-upstream upstream/booking-old");
	}

	@Test
	void keepsUpstreamsUntilOrganisationsHaveMoved() {
		this.placements = Map.of(TestFleet.FIRST, TestFleet.NEW, TestFleet.SECOND, TestFleet.OLD);
		assertThat(describe(steps(STOP))).containsExactly("move-organisation organisation/alpha",
				"hold group/g-old organisations-first", "hold upstream/booking-old organisations-first");
	}

	@Test
	void keepsUpstreamsThatOrganisationsNeed() {
		this.placements = Map.of(TestFleet.FIRST, TestFleet.NEW, TestFleet.SECOND, TestFleet.OLD);
		this.moves = Map.of(TestFleet.FIRST, TestFleet.NEW);
		assertThat(describe(steps(STOP))).containsExactly("hold group/g-old no-capacity",
				"hold upstream/booking-old no-capacity");
		this.accepted = List.of(new Shortage(TestFleet.OLD, ModelId.of("booking"), 4, 0));
		assertThat(describe(steps(STOP))).contains("hold upstream/booking-old no-capacity");
	}

	@Test
	void holdsWhileRequestsRunAndKeepsTheGroupTogether() {
		observe(BOOKING, Phase.STOPPED, 0);
		observe(RANK_0, Phase.LEAVING, 0);
		observe(RANK_1, Phase.LEAVING, 2);
		assertThat(describe(steps(STOP))).containsExactly("hold group/g-old requests-running");
		observe(RANK_0, Phase.UNLOADED, 0);
		observe(RANK_1, Phase.LEAVING, 0);
		assertThat(describe(steps(STOP))).containsExactly("unload upstream/rank-1-old");
		observe(RANK_1, Phase.RUNNING, 0);
		assertThat(describe(steps(STOP))).containsExactly("set-leaving upstream/rank-1-old");
	}

	@Test
	void deductsTheRestOfADepartingGroupFromCapacity() {
		ModelId model = ModelId.of("assistant");
		List<UpstreamId> ids = List.of(RANK_0, RANK_1, BOOKING);
		Fleet fleet = Fleet.of(ids.stream()
			.map((id) -> new FleetUpstream(id, TestFleet.OLD, model,
					id.equals(BOOKING) ? Optional.empty() : Optional.of(GroupId.of("g-old")), 8))
			.toList(), List.of(new Demand(TestFleet.FIRST, model, 8)));
		this.moves = Map.of();
		observe(RANK_0, Phase.LEAVING, 0);
		Observation observed = new Observation(this.observedUpstreams, Map.of(TestFleet.FIRST, TestFleet.OLD), true);
		assertThat(describe(Reconciler.of(fleet, this.policy).steps(state(), observed, STOP, 7)))
			.containsExactly("set-leaving upstream/rank-1-old", "hold upstream/booking-old no-capacity");
	}

	@Test
	void countsUnplacedOrganisationsInEveryDataCentre() {
		this.placements = Map.of();
		assertThat(describe(steps(STOP))).containsExactly("move-organisation organisation/zeta",
				"hold group/g-old organisations-first", "hold upstream/booking-old organisations-first");
		this.moves = Map.of();
		observe(UpstreamId.of("booking-new"), Phase.STOPPED, 0);
		assertThat(describe(steps(STOP))).contains("hold upstream/booking-old no-capacity");
	}

	@Test
	void limitsConcurrentDepartures() {
		this.policy = new ReconcilePolicy(1, 1, Duration.ofMinutes(10));
		assertThat(describe(steps(STOP))).containsExactly("set-leaving upstream/rank-0-old",
				"set-leaving upstream/rank-1-old", "hold upstream/booking-old rate-limited");
	}

	@Test
	void refusingEngineDoesNotBlockOtherUnits() {
		this.policy = new ReconcilePolicy(1, 1, Duration.ofMinutes(10));
		this.observedUpstreams.put(BOOKING, new ObservedUpstream(BOOKING, Phase.LEAVING, 0, Optional.of("busy")));
		assertThat(describe(steps(STOP))).containsExactly("set-leaving upstream/rank-0-old",
				"set-leaving upstream/rank-1-old", "hold upstream/booking-old engine-refuses",
				"unload upstream/booking-old");
	}

	@Test
	void holdsStepsWithoutCurrentObservations() {
		this.observedUpstreams.remove(RANK_1);
		assertThat(describe(steps(STOP))).contains("hold group/g-old unreachable");
		Observation outage = new Observation(this.observedUpstreams, TestFleet.placements(), true).withStoreDown();
		assertThat(describe(steps(STOP, outage))).containsExactly("hold organisation/zeta store-down",
				"hold group/g-old store-down", "hold upstream/booking-old store-down");
	}

}
