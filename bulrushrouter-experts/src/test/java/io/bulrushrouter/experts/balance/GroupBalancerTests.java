package io.bulrushrouter.experts.balance;

import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;

import org.junit.jupiter.api.Test;

import io.bulrushrouter.experts.ExpertMap;
import io.bulrushrouter.experts.GroupShape;
import io.bulrushrouter.experts.PopularityReport;
import io.bulrushrouter.experts.StragglerAnswer;
import io.bulrushrouter.experts.switchover.Attempt;
import io.bulrushrouter.experts.switchover.BalancerOutput;
import io.bulrushrouter.experts.switchover.RefusalReason;
import io.bulrushrouter.experts.switchover.SwitchMessage;

import static com.google.common.truth.Truth.assertThat;

class GroupBalancerTests {

	private static final int RANKS = 4;

	private static final long STEP_NANOS = Duration.ofMillis(40).toNanos();

	private static final Attempt FIRST = Attempt.of(5, 1);

	private final GroupBalancer balancer = GroupBalancer.of(GroupSettings.builder(RANKS).instances(0, 0, 1, 1).build(),
			ExpertMap.ofRoundRobin(1, GroupShape.of(1, 8, RANKS, 3)), 1, 5);

	private long step;

	private long now() {
		return this.step * STEP_NANOS;
	}

	private void steps(int count, double speedOfLast) {
		for (int end = count; end > 0; end--) {
			double[] times = new double[RANKS];
			Arrays.fill(times, 1000 + this.step % 7);
			times[RANKS - 1] /= speedOfLast;
			this.balancer.observe(now(), new StepReport(this.step++, times));
		}
	}

	private BalanceActions planUnderSkew() {
		steps(100, 1);
		this.balancer.observe(new PopularityReport(0, 0, 0, now(), new int[] { 900, 10, 10, 10, 10, 10, 10, 40 }));
		return this.balancer.tick(now(), true);
	}

	private List<BalancerOutput> promises() {
		List<BalancerOutput> last = List.of();
		for (int rank = 0; rank < RANKS; rank++) {
			last = this.balancer.on(new SwitchMessage.Promise(1, FIRST, rank));
		}
		return last;
	}

	@Test
	void plansAndDrivesTheSwitchToCommit() {
		BalanceActions actions = planUnderSkew();
		assertThat(actions.decision().orElseThrow().skewAfter()).isLessThan(1.3);
		assertThat(actions.outputs()).hasSize(RANKS);
		assertThat(promises()).hasSize(RANKS);
		assertThat(this.balancer.map().version()).isEqualTo(1);
		this.balancer.on(new SwitchMessage.Committed(1, FIRST, 2));
		assertThat(this.balancer.map().version()).isEqualTo(2);
		assertThat(this.balancer.slowness()).isLessThan(1.3);
		assertThat(this.balancer.measuredSkew()).isLessThan(1.3);
	}

	@Test
	void givesUpBeforeTheStepIsReached() {
		SwitchMessage.Prepare prepare = (SwitchMessage.Prepare) ((BalancerOutput.ToRank) planUnderSkew().outputs()
			.get(0)).message();
		steps(10, 1);
		assertThat(this.balancer.tick(now(), true).outputs()).hasSize(RANKS);
		steps((int) (prepare.change().step() - this.step - 1), 1);
		List<BalancerOutput> outputs = this.balancer.tick(now(), true).outputs();
		assertThat(outputs).contains(new BalancerOutput.ToRank(0, new SwitchMessage.Abort(1, FIRST)));
		assertThat(outputs).contains(new BalancerOutput.Settled(prepare.change(), false, Optional.empty()));
		assertThat(this.step).isLessThan(prepare.change().step());
	}

	@Test
	void stopsWhenSuperseded() {
		planUnderSkew();
		this.balancer.on(new SwitchMessage.Refusal(1, FIRST, 0, RefusalReason.STALE_FENCE, 6));
		assertThat(this.balancer.superseded()).isTrue();
		steps(2000, 1);
		assertThat(this.balancer.tick(now(), true).decision()).isEqualTo(Optional.empty());
	}

	@Test
	void stopsWhenItsMapIsOutdated() {
		planUnderSkew();
		this.balancer.on(new SwitchMessage.Refusal(1, FIRST, 0, RefusalReason.MAP_VERSION_MISMATCH, 5));
		assertThat(this.balancer.outdated()).isTrue();
		steps(2000, 1);
		assertThat(this.balancer.tick(now(), true).decision()).isEqualTo(Optional.empty());
	}

	@Test
	void asksForReplacementOfLongStraggler() {
		steps(200, 1);
		steps(200, 0.6);
		assertThat(this.balancer.answer(RANKS - 1, now())).isEqualTo(StragglerAnswer.FEWER_TOKENS);
		assertThat(this.balancer.slowness()).isGreaterThan(1.05);
		steps(20_000, 0.6);
		assertThat(this.balancer.tick(now(), true).replacements()).containsExactly(RANKS - 1);
	}

}
