package io.bulrushrouter.coordination.lease;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.stream.IntStream;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

import io.bulrushrouter.kernel.DataCentreId;
import io.bulrushrouter.kernel.InstanceId;
import io.bulrushrouter.kernel.store.LiveInstance;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests for {@link DutyPlacement}.
 */
class DutyPlacementTests {

	private static List<LiveInstance> list(int count) {
		return new ArrayList<>(IntStream.range(0, count)
			.mapToObj((index) -> new LiveInstance(InstanceId.of("i" + index), DataCentreId.of("dc" + index % 11),
					"entry", "10.0.0.1:" + index, false))
			.toList());
	}

	private static InstanceId holder(String duty, List<LiveInstance> list) {
		return DutyPlacement.preferred(duty, list, 1).get(0).instance();
	}

	@Property(seed = "1", tries = 100)
	void removingAnInstanceMovesOnlyItsDuties(@ForAll @IntRange(min = 2, max = 60) int count, @ForAll int seed) {
		List<LiveInstance> before = list(count);
		InstanceId gone = before.get(Math.floorMod(seed, count)).instance();
		List<LiveInstance> after = before.stream().filter((other) -> !other.instance().equals(gone)).toList();
		List<LiveInstance> shuffled = new ArrayList<>(after);
		Collections.shuffle(shuffled, new Random(seed));
		for (int duty = 0; duty < 50; duty++) {
			String name = "duty-" + seed + "-" + duty;
			InstanceId holder = holder(name, before);
			assertThat(holder(name, shuffled)).isEqualTo(holder(name, after));
			if (!holder.equals(gone)) {
				assertThat(holder(name, after)).isEqualTo(holder);
			}
		}
	}

	@Test
	void spreadsDutiesAndSkipsLeavingInstances() {
		List<LiveInstance> list = list(400);
		LiveInstance first = list.get(0);
		list.set(0, new LiveInstance(first.instance(), first.dataCentre(), first.role(), first.address(), true));
		Map<InstanceId, Integer> duties = new HashMap<>();
		IntStream.range(0, 4000).forEach((duty) -> duties.merge(holder("duty-" + duty, list), 1, Integer::sum));
		assertThat(duties).doesNotContainKey(first.instance());
		assertThat(Collections.max(duties.values())).isLessThan(30);
		List<LiveInstance> relays = DutyPlacement.preferred("relay", DataCentreId.of("dc3"), list, 2);
		assertThat(relays).hasSize(2);
		assertThat(relays.stream().map(LiveInstance::dataCentre).distinct().toList())
			.containsExactly(DataCentreId.of("dc3"));
		assertThat(DutyPlacement.isAmong(relays.get(1).instance(), relays)).isTrue();
		assertThat(DutyPlacement.isAmong(first.instance(), relays)).isFalse();
		assertThat(DutyPlacement.preferred("relay", List.of(), 2)).isEmpty();
	}

}
