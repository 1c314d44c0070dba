package io.bulrushrouter.bench;

import java.time.Duration;
import java.time.LocalDateTime;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.random.RandomGenerator;

import io.bulrushrouter.evacuation.Demand;
import io.bulrushrouter.evacuation.Fleet;
import io.bulrushrouter.evacuation.FleetUpstream;
import io.bulrushrouter.kernel.DataCentreId;
import io.bulrushrouter.kernel.ModelId;
import io.bulrushrouter.kernel.OrganisationId;
import io.bulrushrouter.kernel.UpstreamId;
import io.bulrushrouter.standin.FleetStandin;

/**
 * Simulates the requests of the organisations. Each organisation keeps up to its demand
 * in flight, on the least loaded running upstream of its data centre.
 */
final class WeekTraffic {

	private static final double START_PROBABILITY = 0.3;

	private static final Duration MEAN_ASSISTANT_TIME = Duration.ofSeconds(45);

	private static final Duration BOOKING_TIME = Duration.ofSeconds(2);

	private final Fleet fleet;

	private final FleetStandin standin;

	private final RandomGenerator random;

	private final PriorityQueue<RunningRequest> runningRequests = new PriorityQueue<>(
			Comparator.comparing(RunningRequest::end));

	private final Map<Demand, Integer> inFlight = new HashMap<>();

	private long waited;

	private long cutOff;

	WeekTraffic(Fleet fleet, FleetStandin standin, RandomGenerator random) {
		this.fleet = fleet;
		this.standin = standin;
		this.random = random;
	}

	long waited() {
		return this.waited;
	}

	long cutOff() {
		return this.cutOff;
	}

	void step(LocalDateTime now, List<Demand> demands, Map<OrganisationId, DataCentreId> placements) {
		finishUntil(now);
		for (Demand demand : demands) {
			for (int i = this.inFlight.getOrDefault(demand, 0); i < demand.requests(); i++) {
				if (this.random.nextDouble() < START_PROBABILITY) {
					begin(now, demand, placements.get(demand.organisation()));
				}
			}
		}
	}

	void beginLongRequest(UpstreamId upstream, Demand demand, LocalDateTime end) {
		if (!this.standin.begin(upstream)) {
			throw new IllegalStateException("the upstream does not accept the long request");
		}
		run(new RunningRequest(end, upstream, demand));
	}

	void finishUntil(LocalDateTime now) {
		while (!this.runningRequests.isEmpty() && !this.runningRequests.peek().end().isAfter(now)) {
			RunningRequest ended = this.runningRequests.remove();
			this.inFlight.merge(ended.demand(), -1, Integer::sum);
			if (!this.standin.finish(ended.upstream())) {
				this.cutOff++;
			}
		}
	}

	private void begin(LocalDateTime now, Demand demand, DataCentreId dataCentre) {
		Optional<UpstreamId> upstream = choose(demand.model(), dataCentre);
		if (upstream.isEmpty() || !this.standin.begin(upstream.get())) {
			this.waited++;
			return;
		}
		run(new RunningRequest(now.plus(duration(demand.model())), upstream.get(), demand));
	}

	private void run(RunningRequest request) {
		this.runningRequests.add(request);
		this.inFlight.merge(request.demand(), 1, Integer::sum);
	}

	private Optional<UpstreamId> choose(ModelId model, DataCentreId dataCentre) {
		return this.standin.statuses()
			.stream()
			.filter((status) -> status.state() == FleetStandin.State.RUNNING)
			.filter((status) -> serves(status, model, dataCentre))
			.min(Comparator.comparingInt(FleetStandin.Status::inFlight))
			.map(FleetStandin.Status::id);
	}

	private boolean serves(FleetStandin.Status status, ModelId model, DataCentreId dataCentre) {
		FleetUpstream upstream = this.fleet.find(status.id()).orElseThrow();
		int capacity = this.fleet.members(upstream.unit()).stream().mapToInt(FleetUpstream::capacity).sum();
		return upstream.model().equals(model) && upstream.dataCentre().equals(dataCentre)
				&& status.inFlight() < capacity;
	}

	private Duration duration(ModelId model) {
		if (model.equals(KitchenFirm.BOOKING)) {
			return BOOKING_TIME;
		}
		double factor = -Math.log(1 - this.random.nextDouble());
		return Duration.ofMillis(1 + (long) (factor * MEAN_ASSISTANT_TIME.toMillis()));
	}

	/**
	 * A request in flight.
	 *
	 * @param end the time at which it is answered
	 * @param upstream the upstream on which it runs
	 * @param demand the demand of which it is a part
	 */
	private record RunningRequest(LocalDateTime end, UpstreamId upstream, Demand demand) {
	}

}
