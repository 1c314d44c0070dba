package io.bulrushrouter.bench.capacity;

import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.IntStream;

import io.bulrushrouter.kernel.ModelId;
import io.bulrushrouter.kernel.OrganisationId;
import io.bulrushrouter.kernel.Priority;
import io.bulrushrouter.kernel.plugin.PluginRegistry;
import io.bulrushrouter.routing.CostModel;
import io.bulrushrouter.routing.LoadReport;
import io.bulrushrouter.routing.PrefixHint;
import io.bulrushrouter.routing.RouteQuery;
import io.bulrushrouter.routing.UpstreamChooser;
import io.bulrushrouter.routing.UpstreamSpec;
import io.bulrushrouter.routing.UpstreamTable;
import io.bulrushrouter.wire.ControlCodec;

/**
 * An entry's upstream table for one model, with load reports and upstream choices.
 */
final class EntryRouting {

	private static final long INTERVAL_NANOS = 200_000_000L;

	private final UpstreamChooser chooser = PluginRegistry.ofClassPath().require(UpstreamChooser.class, "home-set");

	private final SplittableRandom random = new SplittableRandom(1);

	private final List<UpstreamSpec> specs;

	private final UpstreamTable table;

	private final ModelId model = ModelId.of("model-0");

	private long sequence = 1;

	private long sink;

	private EntryRouting(int upstreams) {
		this.specs = Inventory.upstreams(upstreams, 1);
		this.table = UpstreamTable.of(this.specs, CostModel.ofDefaults());
		for (int index = 0; index < upstreams; index++) {
			report();
		}
	}

	static EntryRouting of(int upstreams) {
		return new EntryRouting(upstreams);
	}

	void choose() {
		this.sequence++;
		RouteQuery query = new RouteQuery(this.model, OrganisationId.of("o"), Priority.NORMAL, this.sequence, 1536,
				2000, Inventory.dataCentre(0), Set.of());
		this.sink += this.chooser.choose(query, this.table, this.sequence * INTERVAL_NANOS, this.random)
			.candidates()
			.size();
	}

	void report() {
		this.sequence++;
		LoadReport report = new LoadReport(1, this.sequence, 0, this.random.nextInt(4000), 30, 0.5, 0.06, List.of());
		int upstream = (int) (this.sequence % this.specs.size());
		this.table.reported(this.specs.get(upstream).id(), report, this.sequence * INTERVAL_NANOS);
	}

	static LoadReport encodeAndDecode(int prefixes) {
		List<PrefixHint> hints = IntStream.range(0, prefixes)
			.mapToObj((index) -> new PrefixHint(Long.MAX_VALUE - index, 1536))
			.toList();
		return ControlCodec.decode(ControlCodec.encode(new LoadReport(1, 1, 0, 4000, 30, 0.5, 0.06, hints)),
				LoadReport.class);
	}

	long sink() {
		return this.sink;
	}

}
