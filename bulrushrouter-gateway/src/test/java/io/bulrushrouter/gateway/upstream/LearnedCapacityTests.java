package io.bulrushrouter.gateway.upstream;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Learned capacity of plain upstreams, with 15 entries that each see a fifteenth of the
 * requests.
 */
class LearnedCapacityTests {

	private static final double NOISE = 0.3;

	private static CapacitySimulation simulation(boolean learning, CapacitySimulation.Speed speed) {
		return new CapacitySimulation(5, 4, learning, NOISE, speed);
	}

	// Guards against an estimator that turns noise into differences between upstreams.
	@Test
	void leavesTheChoiceAsItIsWhereNothingIsUneven() {
		CapacitySimulation without = simulation(false, (upstream, seconds, running) -> 1).run(60, 300);
		CapacitySimulation with = simulation(true, (upstream, seconds, running) -> 1).run(60, 300);
		assertThat(with.meanMillis()).isWithin(0.01 * without.meanMillis()).of(without.meanMillis());
		for (int upstream = 0; upstream < 4; upstream++) {
			assertThat(with.share(upstream)).isWithin(0.02).of(0.25);
		}
	}

	// Guards against a common slowdown, or a change of all upstreams, that is counted
	// against some of them.
	@Test
	void keepsTheSharesWhenAllUpstreamsSlowDownTogether() {
		CapacitySimulation simulation = simulation(true, (upstream, seconds, running) -> (seconds > 10) ? 4 : 1)
			.run(10, 100)
			.run(10, 100);
		for (int upstream = 0; upstream < 4; upstream++) {
			assertThat(simulation.share(upstream)).isWithin(0.05).of(0.25);
		}
	}

	// Guards against equal shares where half of the upstreams are twice as slow, which
	// makes callers wait longer than necessary.
	@Test
	void sendsLessToTheHalfThatIsTwiceAsSlow() {
		CapacitySimulation.Speed speed = (upstream, seconds, running) -> (upstream < 2) ? 2 : 1;
		double before = simulation(false, speed).run(10, 100).run(60, 100).meanMillis();
		CapacitySimulation with = simulation(true, speed).run(10, 100).run(60, 100);
		assertThat(with.share(0) + with.share(1)).isLessThan(0.37);
		assertThat(with.share(0) + with.share(1)).isGreaterThan(0.15);
		assertThat(with.meanMillis()).isLessThan(0.93 * before);
	}

	// Guards against filling an upstream to its slots although it slows down before.
	@Test
	void sendsLessToAnUpstreamThatSlowsDownAtHalfOfItsSlots() {
		CapacitySimulation.Speed speed = (upstream, seconds, running) -> (upstream == 0 && running > 3) ? 4 : 1;
		double before = simulation(false, speed).run(10, 300).run(60, 300).meanMillis();
		CapacitySimulation with = simulation(true, speed).run(10, 300).run(60, 300);
		assertThat(with.meanMillis()).isLessThan(0.85 * before);
		assertThat(with.share(0)).isGreaterThan(0.05);
	}

	// Guards against an upstream that slows down and keeps its traffic, and one that
	// recovers and does not get it back.
	@Test
	void followsAnUpstreamThatSlowsDownAndRecovers() {
		for (double factor : new double[] { 5, 12 }) {
			CapacitySimulation simulation = simulation(true,
					(upstream, seconds, running) -> (upstream == 0 && seconds > 10 && seconds < 20) ? factor : 1);
			assertThat(simulation.run(10, 150).share(0)).isWithin(0.03).of(0.25);
			simulation.run(1, 150);
			assertThat(simulation.run(9, 150).share(0)).isLessThan(0.1);
			simulation.run(4, 150);
			assertThat(simulation.run(6, 150).share(0)).isGreaterThan(0.18);
		}
	}

}
