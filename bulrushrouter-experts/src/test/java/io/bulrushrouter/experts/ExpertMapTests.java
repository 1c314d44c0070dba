package io.bulrushrouter.experts;

import java.util.Arrays;

import org.junit.jupiter.api.Test;

import io.bulrushrouter.kernel.BulrushException;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

class ExpertMapTests {

	private static final GroupShape SHAPE = GroupShape.of(2, 5, 3, 2);

	@Test
	void assignsExpertsRoundRobin() {
		ExpertMap map = ExpertMap.ofRoundRobin(7, SHAPE);
		assertThat(map.version()).isEqualTo(7);
		assertThat(map.expertAt(1, 1, 1)).isEqualTo(4);
		assertThat(map.expertAt(1, 2, 1)).isEqualTo(ExpertMap.EMPTY);
		assertThat(map.holds(0, 2, 2)).isTrue();
		assertThat(map.weightLoads(map)).isEqualTo(0);
	}

	@Test
	void countsWeightLoadsOfEachRank() {
		ExpertMap from = ExpertMap.ofRoundRobin(1, SHAPE);
		short[] experts = from.experts();
		experts[5] = 0;
		ExpertMap to = ExpertMap.of(2, SHAPE, experts, from.shares());
		assertThat(to.weightLoads(from)).isEqualTo(1);
		assertThat(to.rankWeightLoads(from, 2)).isEqualTo(1);
		assertThat(to).isNotEqualTo(from);
	}

	@Test
	void refusesMapWithoutReplicaOfAnExpert() {
		short[] experts = ExpertMap.ofRoundRobin(1, SHAPE).experts();
		experts[0] = 1;
		assertThrows(BulrushException.class, () -> ExpertMap.of(2, SHAPE, experts, new short[experts.length]));
		assertThrows(BulrushException.class,
				() -> ExpertMap.of(2, SHAPE, Arrays.copyOf(experts, 3), new short[experts.length]));
		assertThrows(BulrushException.class, () -> GroupShape.of(1, 7, 3, 2));
	}

}
