package io.bulrushrouter.bench.capacity;

import java.util.List;
import java.util.stream.IntStream;

import io.bulrushrouter.kernel.OrganisationId;
import io.bulrushrouter.kernel.Priority;
import io.bulrushrouter.routing.Dispatch;
import io.bulrushrouter.routing.FairQueue;
import io.bulrushrouter.routing.FairQueueSettings;
import io.bulrushrouter.routing.OrganisationWeights;

/**
 * Load on a fair queue in which each organisation keeps one request waiting.
 */
final class QueueLoad {

	private static final int SLOTS = 64;

	private static final long REQUEST_INTERVAL_NANOS = 1_000;

	private static final long FAR_DEADLINE = Long.MAX_VALUE / 2;

	private final FairQueue<Long> queue = FairQueue.of(FairQueueSettings.of(SLOTS, OrganisationWeights.ofEqual()), 0);

	private final List<OrganisationId> organisations;

	private long requestNumber;

	private long now = 1;

	private QueueLoad(int organisations) {
		this.organisations = IntStream.range(0, organisations)
			.mapToObj((index) -> OrganisationId.of("organisation-" + index))
			.toList();
		this.organisations.forEach((organisation) -> offer());
	}

	static QueueLoad of(int organisations) {
		return new QueueLoad(organisations);
	}

	void offerAndDispatch() {
		offer();
		Dispatch<Long> dispatch = this.queue.next(this.now).orElseThrow();
		this.queue.firstToken(dispatch);
		this.queue.finished(dispatch, 1, this.now);
	}

	private void offer() {
		this.requestNumber++;
		this.now += REQUEST_INTERVAL_NANOS;
		OrganisationId organisation = this.organisations.get((int) (this.requestNumber % this.organisations.size()));
		this.queue.offer(this.requestNumber, organisation, Priority.NORMAL, 1, FAR_DEADLINE, this.now);
	}

}
