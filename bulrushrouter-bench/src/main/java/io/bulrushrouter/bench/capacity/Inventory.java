package io.bulrushrouter.bench.capacity;

import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.stream.IntStream;

import io.bulrushrouter.daemon.config.Configuration;
import io.bulrushrouter.daemon.config.ModelDemand;
import io.bulrushrouter.daemon.config.Operator;
import io.bulrushrouter.daemon.config.Organisation;
import io.bulrushrouter.daemon.config.Upstream;
import io.bulrushrouter.kernel.DataCentreId;
import io.bulrushrouter.kernel.InstanceId;
import io.bulrushrouter.kernel.ModelId;
import io.bulrushrouter.kernel.UpstreamId;
import io.bulrushrouter.kernel.store.LiveInstance;
import io.bulrushrouter.routing.UpstreamSpec;

/**
 * Creates synthetic configurations, instance lists and upstreams of any size.
 */
final class Inventory {

	private static final int HASH_WORDS = 4;

	private Inventory() {
	}

	static Configuration configuration(int organisations, int upstreams) {
		SplittableRandom random = new SplittableRandom(1);
		return new Configuration(
				IntStream.range(0, organisations).mapToObj((index) -> organisation(index, random)).toList(),
				IntStream.range(0, upstreams).mapToObj(Inventory::upstream).toList(),
				List.of(new Operator("day-team", hash(random), List.of("*"), List.of("*"))));
	}

	private static Organisation organisation(int index, SplittableRandom random) {
		List<ModelDemand> demands = IntStream.range(0, TargetSize.MODELS_PER_ORGANISATION)
			.mapToObj((demand) -> new ModelDemand("model-" + (index + demand) % TargetSize.MODELS, 1 + demand))
			.toList();
		return new Organisation("organisation-" + index, hash(random), 1, 1000, demands);
	}

	private static String hash(SplittableRandom random) {
		StringBuilder hash = new StringBuilder();
		for (int word = 0; word < HASH_WORDS; word++) {
			hash.append(String.format("%016x", random.nextLong()));
		}
		return hash.toString();
	}

	private static Upstream upstream(int index) {
		return new Upstream("runner-" + index, List.of("model-" + index % TargetSize.MODELS), dataCentre(index).value(),
				"10.20." + index / 250 + "." + index % 250 + ":7101", false, "", 64);
	}

	static DataCentreId dataCentre(int index) {
		return DataCentreId.of("dc-" + index % TargetSize.DATA_CENTRES);
	}

	static List<LiveInstance> instances(int count) {
		return IntStream.range(0, count)
			.mapToObj((index) -> new LiveInstance(InstanceId.of("instance-" + index), dataCentre(index),
					(index % 5 < 2) ? "entry" : "sidecar", "10.20." + index / 250 + "." + index % 250 + ":7101", false))
			.toList();
	}

	static List<UpstreamSpec> upstreams(int count, int models) {
		return IntStream.range(0, count)
			.mapToObj((index) -> new UpstreamSpec(UpstreamId.of("runner-" + index),
					ModelId.of("model-" + index % models), dataCentre(index), Optional.empty(), 1))
			.toList();
	}

}
