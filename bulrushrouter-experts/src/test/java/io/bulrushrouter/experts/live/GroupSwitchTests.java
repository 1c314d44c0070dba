package io.bulrushrouter.experts.live;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Function;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;

import org.junit.jupiter.api.Test;

import io.bulrushrouter.experts.live.GroupSwitch.Guard;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against a pass that runs with different maps on different ranks, which can
 * happen when orders are delayed or lost, or when lease holders or the group restart.
 * Tests with a guard disabled show what the guard prevents.
 */
class GroupSwitchTests {

	private static final int ROUNDS = 14;

	private static final int[][][] EXPERTS = { { { 0 }, { 1 } } };

	/**
	 * Status requests and orders of two holders per run; a switch without faults takes
	 * 19.
	 */
	private static final int ACTIONS = 24;

	/** The number of choice points of a run at which deviations are tried. */
	private static final int MAX_POINTS = 60;

	@Test
	void switchesWithoutDeviations() {
		SimulatedGroup group = new SimulatedGroup(3, (options) -> 0, Guard.all());
		assertThat(group.run(20)).isEqualTo(Optional.empty());
		assertThat(group.switches()).isEqualTo(1);
	}

	@Test
	void neverRunsAPassOnTwoMapsWithUpToThreeDeviations() {
		Exploration exploration = new Exploration((choices) -> new SimulatedGroup(2, choices, Guard.all()).run(ROUNDS));
		assertThat(exploration.explore(3)).isEqualTo(Optional.empty());
		assertThat(exploration.runs).isGreaterThan(100_000L);
	}

	@Test
	void neverRunsAPassOnTwoMapsInThreeRanksWithUpToTwoDeviations() {
		Exploration exploration = new Exploration((choices) -> new SimulatedGroup(3, choices, Guard.all()).run(ROUNDS));
		assertThat(exploration.explore(2)).isEqualTo(Optional.empty());
	}

	@Test
	void neverRunsAPassOnTwoMapsOnRandomSchedules() {
		assertThat(runSingleHolder(Guard.all(), 60_000)).isEqualTo(Optional.empty());
	}

	@Test
	void holdingBeforeAllArePreparedIsSafe() {
		assertThat(runSingleHolder(Guard.allBut(Guard.PREPARE_ALL), 20_000)).isEqualTo(Optional.empty());
	}

	@Test
	void runsTwoMapsIfADelayedArmFindsItsPreparedMap() {
		assertThat(runSingleHolder(Guard.allBut(Guard.REPLACE_PREPARED), 60_000)).isNotEqualTo(Optional.empty());
	}

	@Test
	void armsTheLeadersRankLastAndReleasesTheGroupThoughStatusesAreOld() {
		GroupSwitch groupSwitch = GroupSwitch.of(1000);
		groupSwitch.nextOrders(view(OptionalLong.empty()), EXPERTS);
		long version = groupSwitch.propose(EXPERTS);
		accept(groupSwitch, groupSwitch.nextOrders(view(OptionalLong.empty()), EXPERTS));
		List<RankCommand> hold = groupSwitch.nextOrders(view(OptionalLong.of(version)), EXPERTS);
		long step = ((RankOrder.Hold) hold.get(0).order()).step();
		accept(groupSwitch, hold);
		RankOrder.Arm arm = new RankOrder.Arm(version, step);
		GroupView old = view(OptionalLong.of(version));
		assertThat(accept(groupSwitch, groupSwitch.nextOrders(old, EXPERTS))).containsExactly(new RankCommand(1, arm));
		assertThat(groupSwitch.followUpOrders()).isEmpty();
		assertThat(accept(groupSwitch, groupSwitch.nextOrders(old, EXPERTS))).containsExactly(new RankCommand(0, arm));
		assertThat(groupSwitch.followUpOrders()).containsExactly(new RankCommand(1, new RankOrder.Go(step)));
	}

	private static List<RankCommand> accept(GroupSwitch groupSwitch, List<RankCommand> commands) {
		commands.forEach((command) -> groupSwitch.recordResult(command, OrderResult.ACCEPTED));
		return commands;
	}

	@Test
	void neverCommitsASwitchThatItBeganToAbort() {
		assertThat(sendsGoOnceAllAreArmedAfterAbort(Guard.all())).isFalse();
	}

	@Test
	void commitsAnAbortedSwitchWhileDisarmsAreInFlightWithoutTheGuard() {
		assertThat(sendsGoOnceAllAreArmedAfterAbort(Guard.allBut(Guard.NEVER_COMMIT_ABORTED))).isTrue();
	}

	/**
	 * Aborts a switch since rank 1 is not armed, then reports rank 1 as armed by a
	 * delayed order.
	 * @param guards the enabled guards
	 * @return whether the group is released while disarms are in flight
	 */
	private static boolean sendsGoOnceAllAreArmedAfterAbort(Set<Guard> guards) {
		GroupSwitch groupSwitch = GroupSwitch.ofGuards(1000, guards);
		groupSwitch.nextOrders(view(OptionalLong.empty()), EXPERTS);
		long version = groupSwitch.propose(EXPERTS);
		List<RankCommand> prepares = groupSwitch.nextOrders(view(OptionalLong.empty()), EXPERTS);
		prepares.forEach((command) -> groupSwitch.recordResult(command, OrderResult.ACCEPTED));
		List<RankCommand> hold = groupSwitch.nextOrders(view(OptionalLong.of(version)), EXPERTS);
		long step = ((RankOrder.Hold) hold.get(0).order()).step();
		List<RankCommand> commands = List.of();
		while (commands.stream().noneMatch((command) -> command.order() instanceof RankOrder.Disarm)) {
			commands = groupSwitch.nextOrders(held(version, step, false), EXPERTS);
		}
		return groupSwitch.nextOrders(held(version, step, true), EXPERTS)
			.stream()
			.anyMatch((command) -> command.order() instanceof RankOrder.Go);
	}

	@Test
	void keepsTheGroupHeldUntilTheReplacementOfAnAbortedMapIsConfirmed() {
		GroupSwitch recovery = GroupSwitch.of(5000);
		GroupView held = held(1001, 6, false);
		accept(recovery, recovery.nextOrders(held, EXPERTS));
		accept(recovery, recovery.nextOrders(held, EXPERTS));
		List<RankCommand> replacement = recovery.nextOrders(held, EXPERTS);
		assertThat(replacement.get(0).order()).isInstanceOf(RankOrder.Prepare.class);
		replacement.forEach((command) -> recovery.recordResult(command, OrderResult.STARTED));
		assertThat(recovery.nextOrders(held, EXPERTS).get(0).order()).isNotInstanceOf(RankOrder.Go.class);
	}

	@Test
	void aDelayedGoDoesNotReleaseTheGroupForTheNextSwitch() {
		assertThat(runPassesAfterDelayedGo(Guard.all())).isEqualTo(Optional.empty());
	}

	@Test
	void runsTwoMapsIfTheNextSwitchReusesTheHold() {
		assertThat(runPassesAfterDelayedGo(Guard.allBut(Guard.NEVER_REUSE_HOLD))).isNotEqualTo(Optional.empty());
	}

	/**
	 * Aborts a switch of an idle group since rank 0 cannot be armed. A copy of the go
	 * that ends it arrives when the next switch has armed rank 1 only.
	 * @param guards the enabled guards
	 * @return a description of the violation, or empty
	 */
	private static Optional<String> runPassesAfterDelayedGo(Set<Guard> guards) {
		SimulatedRanks ranks = new SimulatedRanks(2);
		GroupSwitch groupSwitch = GroupSwitch.ofGuards(1000, guards);
		runRoundsUntil(RankOrder.Go.class, groupSwitch, ranks);
		runRoundsUntil(RankOrder.Arm.class, groupSwitch, ranks);
		ranks.executeDelayed(0);
		for (int pass = 0; pass < 2 * GroupSwitch.MAX_PASSES_AHEAD; pass++) {
			Optional<String> violation = ranks.runPass();
			if (violation.isPresent()) {
				return violation;
			}
		}
		return Optional.empty();
	}

	private static void runRoundsUntil(Class<? extends RankOrder> last, GroupSwitch groupSwitch, SimulatedRanks ranks) {
		runRound(groupSwitch, ranks);
		groupSwitch.propose(EXPERTS);
		boolean sent = false;
		for (int round = 0; round < 2 * ROUNDS && !sent; round++) {
			sent = runRound(groupSwitch, ranks).stream().anyMatch((command) -> last.isInstance(command.order()));
		}
		assertThat(sent).isTrue();
	}

	private static List<RankCommand> runRound(GroupSwitch groupSwitch, SimulatedRanks ranks) {
		GroupView view = GroupView.of(ranks.status(0), List.of(ranks.status(0), ranks.status(1))).orElseThrow();
		List<RankCommand> commands = groupSwitch.nextOrders(view, EXPERTS);
		for (RankCommand command : commands) {
			RankOrder order = command.order();
			int outcome = (order instanceof RankOrder.Go) ? SimulatedRanks.ANSWERED_WITH_COPY
					: (order instanceof RankOrder.Arm && command.rank() == 0) ? SimulatedRanks.LOST
							: SimulatedRanks.ANSWERED;
			OrderResult result = ranks.send(new SimulatedRanks.Order(command, ranks.epoch(), 1), outcome);
			groupSwitch.recordResult(command, result);
		}
		return commands;
	}

	private static GroupView held(long version, long step, boolean secondArmed) {
		Optional<RankStatus.Armed> armed = Optional.of(new RankStatus.Armed(version, step));
		RankStatus first = new RankStatus("group", 1, 0, 2, true, 0, 5, 0, OptionalLong.of(version), armed,
				OptionalLong.empty());
		RankStatus second = new RankStatus("group", 1, 1, 2, true, 0, 5, 0, OptionalLong.of(version),
				secondArmed ? armed : Optional.empty(), OptionalLong.of(step));
		return GroupView.of(first, List.of(first, second)).orElseThrow();
	}

	private static GroupView view(OptionalLong prepared) {
		List<RankStatus> statuses = new ArrayList<>();
		for (int rank = 0; rank < 2; rank++) {
			statuses.add(new RankStatus("group", 1, rank, 2, true, 0, 5, 0, prepared, Optional.empty(),
					OptionalLong.empty()));
		}
		return GroupView.of(statuses.get(0), statuses).orElseThrow();
	}

	@Test
	void twoHoldersNeverRunTwoMapsWithUpToTwoDeviations() {
		for (int ranks = 2; ranks <= 4; ranks++) {
			int size = ranks;
			Exploration exploration = new Exploration(
					(choices) -> new CompetingHolders(size, choices, Guard.all()).run(ACTIONS));
			assertThat(exploration.explore(2)).isEqualTo(Optional.empty());
			assertThat(exploration.runs).isGreaterThan(5_000L);
		}
	}

	@Test
	void twoHoldersNeverRunTwoMapsOnRandomSchedules() {
		assertThat(runCompetingHolders(Guard.all(), 120_000)).isEqualTo(Optional.empty());
	}

	@Test
	void twoHoldersRunTwoMapsWithoutFencingFirst() {
		assertThat(runCompetingHolders(Guard.allBut(Guard.FENCE_FIRST), 60_000)).isNotEqualTo(Optional.empty());
	}

	@Test
	void twoHoldersRunTwoMapsIfADelayedArmFindsItsPreparedMap() {
		assertThat(runCompetingHolders(Guard.allBut(Guard.REPLACE_PREPARED), 60_000)).isNotEqualTo(Optional.empty());
	}

	@Test
	void twoHoldersRunTwoMapsIfACommittedSwitchIsAborted() {
		assertThat(runCompetingHolders(Guard.allBut(Guard.NEVER_ABORT_COMMITTED), 60_000))
			.isNotEqualTo(Optional.empty());
	}

	@Test
	void twoHoldersRunTwoMapsIfTheLeadersRankIsNotArmedLast() {
		assertThat(runCompetingHolders(Guard.allBut(Guard.LEADER_LAST), 60_000)).isNotEqualTo(Optional.empty());
	}

	@Test
	void twoHoldersRunTwoMapsIfTheLeadersRankIsNotDisarmedFirst() {
		assertThat(runCompetingHolders(Guard.allBut(Guard.LEADER_FIRST), 60_000)).isNotEqualTo(Optional.empty());
	}

	@Test
	void twoHoldersRunTwoMapsIfTheUnknownLeadersRankMayBeArmed() {
		assertThat(runCompetingHolders(Guard.allBut(Guard.LEADER_EXCLUDED), 60_000)).isNotEqualTo(Optional.empty());
	}

	@Test
	void twoHoldersRunTwoMapsIfARestoredStoreGivesTokensOutAgain() {
		assertThat(runCompetingHolders(Guard.all(), 60_000, SimulatedTokens::ofRevision))
			.isNotEqualTo(Optional.empty());
	}

	private static Optional<String> runCompetingHolders(Set<Guard> guards, int runs) {
		return runCompetingHolders(guards, runs, SimulatedTokens::ofEraAndRevision);
	}

	private static Optional<String> runCompetingHolders(Set<Guard> guards, int runs, Supplier<SimulatedTokens> tokens) {
		for (int seed = 0; seed < runs; seed++) {
			RandomGenerator random = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
			double deviationProbability = 0.03 + 0.4 * random.nextDouble();
			Optional<String> violation = new CompetingHolders(2 + seed % 3,
					Choices.ofRandom(random, deviationProbability), guards, tokens.get())
				.run(150);
			if (violation.isPresent()) {
				return Optional.of("seed " + seed + ": " + violation.get());
			}
		}
		return Optional.empty();
	}

	@Test
	void runsTwoMapsWithoutFencingFirst() {
		assertThat(runSingleHolder(Guard.allBut(Guard.FENCE_FIRST), 60_000)).isNotEqualTo(Optional.empty());
	}

	private static Optional<String> runSingleHolder(Set<Guard> guards, int runs) {
		for (int seed = 0; seed < runs; seed++) {
			RandomGenerator random = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
			double deviationProbability = 0.05 + 0.5 * random.nextDouble();
			SimulatedGroup group = new SimulatedGroup(2 + seed % 3, Choices.ofRandom(random, deviationProbability),
					guards);
			Optional<String> violation = group.run(60);
			if (violation.isPresent()) {
				return Optional.of("seed " + seed + ": " + violation.get());
			}
		}
		return Optional.empty();
	}

	/**
	 * Explores all runs that deviate from the regular one at up to a given number of
	 * points.
	 */
	private static final class Exploration {

		private final Function<Choices, Optional<String>> run;

		private long runs;

		private Exploration(Function<Choices, Optional<String>> run) {
			this.run = run;
		}

		private Optional<String> explore(int deviations) {
			return extend(new int[0], new int[0], deviations);
		}

		private Optional<String> extend(int[] points, int[] options, int remaining) {
			Choices.Scripted script = new Choices.Scripted(points, options, MAX_POINTS);
			Optional<String> violation = this.run.apply(script);
			this.runs++;
			if (violation.isPresent() || remaining == 0) {
				return violation;
			}
			int from = (points.length == 0) ? 0 : points[points.length - 1] + 1;
			int[] optionCounts = script.optionCounts();
			for (int point = from; point < MAX_POINTS; point++) {
				for (int option = 1; option < optionCounts[point]; option++) {
					violation = extend(append(points, point), append(options, option), remaining - 1);
					if (violation.isPresent()) {
						return violation;
					}
				}
			}
			return Optional.empty();
		}

		private static int[] append(int[] values, int value) {
			int[] longer = Arrays.copyOf(values, values.length + 1);
			longer[values.length] = value;
			return longer;
		}

	}

}
