package io.bulrushrouter.standin;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

import org.junit.jupiter.api.Test;

import io.bulrushrouter.experts.ExpertMap;
import io.bulrushrouter.experts.GroupShape;
import io.bulrushrouter.experts.switchover.BalancerInput;
import io.bulrushrouter.experts.switchover.BalancerOutput;
import io.bulrushrouter.experts.switchover.MapSwitchBalancer;
import io.bulrushrouter.experts.switchover.MapSwitchRank;
import io.bulrushrouter.experts.switchover.RankInput;
import io.bulrushrouter.experts.switchover.RankOutput;
import io.bulrushrouter.experts.switchover.SwitchMessage;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests for {@link RankGroupStandin} with the map switch protocol between a balancer and
 * the ranks.
 */
class RankGroupStandinTests {

	private static final int RANKS = 4;

	private static final long SWITCH_STEP = 3;

	private final RankGroupStandin group = RankGroupStandin.of(RANKS, 1);

	private final MapSwitchBalancer balancer = MapSwitchBalancer.of(RANKS, 1, 1);

	private final List<MapSwitchRank> sidecars = new ArrayList<>();

	private final Deque<Runnable> network = new ArrayDeque<>();

	private boolean commitsLost;

	RankGroupStandinTests() {
		for (int rank = 0; rank < RANKS; rank++) {
			this.sidecars.add(MapSwitchRank.of(rank, RANKS, this.group.engine(rank)));
		}
	}

	private void balance(BalancerInput input) {
		for (BalancerOutput output : this.balancer.on(input)) {
			if (output instanceof BalancerOutput.ToRank sent) {
				boolean lost = this.commitsLost && sent.message() instanceof SwitchMessage.Commit;
				this.network.add(() -> rank(sent.rank(), new RankInput.Received(sent.message())));
				if (lost) {
					this.network.removeLast();
				}
			}
		}
	}

	private void rank(int rank, RankInput input) {
		for (RankOutput output : this.sidecars.get(rank).on(input)) {
			if (output instanceof RankOutput.ToRank sent) {
				this.network.add(() -> rank(sent.rank(), new RankInput.Received(sent.message())));
			}
			else if (output instanceof RankOutput.ToBalancer sent) {
				this.network.add(() -> balance(new BalancerInput.Received(sent.message())));
			}
			else if (output instanceof RankOutput.LoadWeights load) {
				rank(rank, new RankInput.WeightsLoaded(load.change()));
			}
		}
	}

	private void deliver() {
		while (!this.network.isEmpty()) {
			this.network.poll().run();
		}
	}

	private void start() {
		ExpertMap map = ExpertMap.ofRoundRobin(2, GroupShape.of(1, RANKS, RANKS, 1));
		balance(new BalancerInput.Start(1, map, SWITCH_STEP));
		deliver();
	}

	private void steps(int count) {
		for (int step = 0; step < count; step++) {
			this.group.step();
		}
	}

	@Test
	void switchesAllRanksInOneStep() {
		start();
		steps(5);
		assertThat(this.group.steps().stream().allMatch(RankGroupStandin.Step::usesOneMap)).isTrue();
		assertThat(this.group.steps().stream().map((step) -> step.maps().get(0))).containsExactly(1L, 1L, 1L, 2L, 2L)
			.inOrder();
	}

	@Test
	void waitsAtArmedStopAndResumesOnOldMapWhenCommitIsLost() {
		this.commitsLost = true;
		start();
		steps(5);
		assertThat(this.group.steps()).hasSize((int) SWITCH_STEP);
		for (int rank = 0; rank < RANKS; rank++) {
			rank(rank, new RankInput.Tick());
		}
		deliver();
		steps(2);
		assertThat(this.group.steps()).hasSize((int) SWITCH_STEP + 2);
		assertThat(this.group.steps().get(4).maps()).containsExactly(1L, 1L, 1L, 1L);
	}

	@Test
	void startsNewIncarnationOnOneMap() {
		start();
		steps(2);
		this.group.restart(1, 2);
		steps(1);
		assertThat(this.group.steps().get(2)).isEqualTo(new RankGroupStandin.Step(2, 0, List.of(2L, 2L, 2L, 2L)));
	}

}
