package io.bulrushrouter.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import io.bulrushrouter.kernel.DataCentreId;
import io.bulrushrouter.kernel.ModelId;
import io.bulrushrouter.kernel.OrganisationId;
import io.bulrushrouter.kernel.Priority;
import io.bulrushrouter.kernel.UpstreamId;

/**
 * Values and builders shared by the tests of this package.
 */
final class Fixtures {

	static final ModelId MODEL = ModelId.of("m");

	static final long SECOND = 1_000_000_000L;

	private Fixtures() {
	}

	static OrganisationId organisation(String name) {
		return OrganisationId.of(name);
	}

	static UpstreamId upstream(int number) {
		return UpstreamId.of("u" + number);
	}

	static List<UpstreamSpec> specs(int count) {
		List<UpstreamSpec> specs = new ArrayList<>();
		for (int i = 0; i < count; i++) {
			specs.add(new UpstreamSpec(upstream(i), MODEL, DataCentreId.of("dc"), Optional.empty(), 1));
		}
		return specs;
	}

	static UpstreamTable table(int count) {
		return UpstreamTable.of(specs(count), CostModel.ofDefaults());
	}

	static RouteQuery query(long digest) {
		return new RouteQuery(MODEL, organisation("o"), Priority.NORMAL, digest, 1000, 1200, DataCentreId.of("dc"),
				Set.of());
	}

	static LoadReport report(long sequence, long queuedTokens, PrefixHint... hints) {
		return new LoadReport(1, sequence, 0, queuedTokens, 0, 0, 0.1, List.of(hints));
	}

}
