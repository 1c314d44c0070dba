package io.bulrushrouter.routing;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;

import io.bulrushrouter.kernel.ModelId;
import io.bulrushrouter.kernel.UpstreamId;

/**
 * A circuit breaker for each upstream: closed while the upstream answers, open after
 * consecutive failures, then half open with a rising share of traffic. Only a bounded
 * part of a model's circuits may be open at a time. Not thread-safe.
 */
public final class OutlierEjection {

	/** Share of traffic at the start of the ramp-up. */
	private static final double INITIAL_TRAFFIC_SHARE = 0.05;

	private final EjectionSettings settings;

	private final Map<UpstreamId, Circuit> circuits = new HashMap<>();

	private final Map<UpstreamId, Circuit> tripped = new HashMap<>();

	private final Map<ModelId, Integer> upstreamCounts = new HashMap<>();

	private OutlierEjection(EjectionSettings settings) {
		this.settings = settings;
	}

	/**
	 * Returns closed circuits for the configured upstreams.
	 * @param specs the upstreams
	 * @param settings the settings
	 * @return the circuits
	 */
	public static OutlierEjection of(List<UpstreamSpec> specs, EjectionSettings settings) {
		OutlierEjection ejection = new OutlierEjection(settings);
		ejection.reconfigure(specs);
		return ejection;
	}

	/**
	 * Applies a new configuration. The circuits of upstreams that remain configured keep
	 * their state.
	 * @param specs the upstreams
	 */
	public void reconfigure(List<UpstreamSpec> specs) {
		Map<UpstreamId, Circuit> before = Map.copyOf(this.circuits);
		before.values().forEach((circuit) -> circuit.models.clear());
		this.circuits.clear();
		this.upstreamCounts.clear();
		for (UpstreamSpec spec : specs) {
			Circuit circuit = before.getOrDefault(spec.id(), new Circuit());
			this.circuits.putIfAbsent(spec.id(), circuit);
			this.circuits.get(spec.id()).models.add(spec.model());
			this.upstreamCounts.merge(spec.model(), 1, Integer::sum);
		}
		this.tripped.keySet().retainAll(this.circuits.keySet());
	}

	/**
	 * Records how a request ended. Declined and cancelled requests have no effect,
	 * because they do not show whether the upstream works.
	 * @param upstream the upstream
	 * @param outcome how the request ended
	 * @param nowNanos the time, in nanoseconds
	 * @return whether this ejects the upstream
	 */
	public boolean ended(UpstreamId upstream, Outcome outcome, long nowNanos) {
		Circuit circuit = this.circuits.get(upstream);
		if (circuit == null) {
			return false;
		}
		if (outcome == Outcome.ANSWERED) {
			circuit.answered(nowNanos, this.settings);
		}
		boolean ejected = outcome == Outcome.FAILED && recordFailure(circuit, nowNanos);
		if (ejected) {
			this.tripped.put(upstream, circuit);
		}
		return ejected;
	}

	private boolean recordFailure(Circuit circuit, long nowNanos) {
		if (circuit.isOpen(nowNanos)) {
			return false;
		}
		circuit.consecutiveFailures++;
		boolean rampingUp = circuit.isRampingUp(nowNanos, this.settings);
		if (!rampingUp && circuit.consecutiveFailures < this.settings.consecutiveFailures()) {
			return false;
		}
		if (!circuit.models.stream().allMatch((model) -> mayOpen(model, nowNanos))) {
			return false;
		}
		circuit.open(nowNanos, this.settings);
		return true;
	}

	private boolean mayOpen(ModelId model, long nowNanos) {
		long open = this.tripped.values()
			.stream()
			.filter((circuit) -> circuit.models.contains(model) && circuit.isOpen(nowNanos))
			.count();
		return open + 1 <= this.settings.maxEjectedFraction() * this.upstreamCounts.get(model);
	}

	/**
	 * Returns the part of its normal traffic that an upstream may get.
	 * @param upstream the upstream
	 * @param nowNanos the time, in nanoseconds
	 * @return 0 while ejected, rising to 1 during the ramp-up; 1 if the upstream is not
	 * configured
	 */
	public double trafficShare(UpstreamId upstream, long nowNanos) {
		Circuit circuit = this.circuits.get(upstream);
		return (circuit != null) ? circuit.trafficShare(nowNanos, this.settings) : 1;
	}

	/**
	 * Sets the traffic shares of ejected and ramping-up upstreams in a table.
	 * @param table the table
	 * @param nowNanos the time, in nanoseconds
	 */
	public void applyTo(UpstreamTable table, long nowNanos) {
		for (Iterator<Map.Entry<UpstreamId, Circuit>> iterator = this.tripped.entrySet().iterator(); iterator
			.hasNext();) {
			Map.Entry<UpstreamId, Circuit> entry = iterator.next();
			double share = entry.getValue().trafficShare(nowNanos, this.settings);
			table.trafficShare(entry.getKey(), share);
			if (share >= 1) {
				iterator.remove();
			}
		}
	}

	/**
	 * The circuit breaker of one upstream.
	 */
	private static final class Circuit {

		private final Set<ModelId> models = new HashSet<>();

		private int consecutiveFailures;

		private int ejections;

		private long openUntilNanos;

		boolean isOpen(long nowNanos) {
			return this.ejections > 0 && nowNanos < this.openUntilNanos;
		}

		boolean isRampingUp(long nowNanos, EjectionSettings settings) {
			return this.ejections > 0 && !isOpen(nowNanos) && nowNanos < this.openUntilNanos + settings.rampUpNanos();
		}

		void open(long nowNanos, EjectionSettings settings) {
			long durationNanos = Math.min(settings.maxEjectionNanos(),
					settings.baseEjectionNanos() << Math.min(this.ejections, Integer.SIZE));
			this.ejections++;
			this.consecutiveFailures = 0;
			this.openUntilNanos = nowNanos + durationNanos;
		}

		void answered(long nowNanos, EjectionSettings settings) {
			this.consecutiveFailures = 0;
			if (!isOpen(nowNanos) && !isRampingUp(nowNanos, settings)) {
				this.ejections = 0;
			}
		}

		double trafficShare(long nowNanos, EjectionSettings settings) {
			if (this.ejections == 0) {
				return 1;
			}
			if (isOpen(nowNanos)) {
				return 0;
			}
			double progress = (nowNanos - this.openUntilNanos) / (double) settings.rampUpNanos();
			return Math.min(1, INITIAL_TRAFFIC_SHARE + (1 - INITIAL_TRAFFIC_SHARE) * progress);
		}

	}

}
