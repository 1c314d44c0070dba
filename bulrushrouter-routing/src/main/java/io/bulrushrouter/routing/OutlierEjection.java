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
 * A circuit for each upstream: closed while it answers, open after failures in a row,
 * then half open with a rising share of traffic. Only a bounded part of a model's
 * upstreams is open at a time. One thread owns it.
 */
public final class OutlierEjection {

	/** Share of traffic at the start of the return. */
	private static final double FIRST_SHARE = 0.05;

	private final EjectionSettings settings;

	private final Map<UpstreamId, Circuit> circuits = new HashMap<>();

	private final Map<UpstreamId, Circuit> tripped = new HashMap<>();

	private final Map<ModelId, Integer> sizes = new HashMap<>();

	private OutlierEjection(EjectionSettings settings) {
		this.settings = settings;
	}

	/**
	 * Returns circuits for the configured upstreams, all closed.
	 * @param specs the upstreams
	 * @param settings when to eject
	 * @return the circuits
	 */
	public static OutlierEjection of(List<UpstreamSpec> specs, EjectionSettings settings) {
		OutlierEjection ejection = new OutlierEjection(settings);
		ejection.configured(specs);
		return ejection;
	}

	/**
	 * Takes over a new configuration. Circuits of upstreams that stay are kept.
	 * @param specs the upstreams
	 */
	public void configured(List<UpstreamSpec> specs) {
		Map<UpstreamId, Circuit> before = Map.copyOf(this.circuits);
		before.values().forEach((circuit) -> circuit.models.clear());
		this.circuits.clear();
		this.sizes.clear();
		for (UpstreamSpec spec : specs) {
			Circuit circuit = before.getOrDefault(spec.id(), new Circuit());
			this.circuits.putIfAbsent(spec.id(), circuit);
			this.circuits.get(spec.id()).models.add(spec.model());
			this.sizes.merge(spec.model(), 1, Integer::sum);
		}
		this.tripped.keySet().retainAll(this.circuits.keySet());
	}

	/**
	 * Notes how a request ended. Declined and cancelled requests say nothing of an
	 * upstream's health.
	 * @param upstream the upstream
	 * @param outcome how the request ended
	 * @param nowNanos the time, in nanoseconds
	 * @return whether this ejected the upstream
	 */
	public boolean ended(UpstreamId upstream, Outcome outcome, long nowNanos) {
		Circuit circuit = this.circuits.get(upstream);
		if (circuit == null) {
			return false;
		}
		if (outcome == Outcome.ANSWERED) {
			circuit.answered(nowNanos, this.settings);
		}
		boolean opened = outcome == Outcome.FAILED && failed(circuit, nowNanos);
		if (opened) {
			this.tripped.put(upstream, circuit);
		}
		return opened;
	}

	private boolean failed(Circuit circuit, long nowNanos) {
		if (circuit.isOpen(nowNanos)) {
			return false;
		}
		circuit.failuresInRow++;
		boolean returning = circuit.isReturning(nowNanos, this.settings);
		if (!returning && circuit.failuresInRow < this.settings.failuresInRow()) {
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
		return open + 1 <= this.settings.largestShare() * this.sizes.get(model);
	}

	/**
	 * Returns the part of its usual traffic that an upstream may get.
	 * @param upstream the upstream
	 * @param nowNanos the time, in nanoseconds
	 * @return 0 while ejected, rising to 1 on return; 1 if it is not configured
	 */
	public double share(UpstreamId upstream, long nowNanos) {
		Circuit circuit = this.circuits.get(upstream);
		return (circuit != null) ? circuit.share(nowNanos, this.settings) : 1;
	}

	/**
	 * Sets the shares in a table.
	 * @param table the table
	 * @param nowNanos the time, in nanoseconds
	 */
	public void applyTo(UpstreamTable table, long nowNanos) {
		for (Iterator<Map.Entry<UpstreamId, Circuit>> all = this.tripped.entrySet().iterator(); all.hasNext();) {
			Map.Entry<UpstreamId, Circuit> entry = all.next();
			double share = entry.getValue().share(nowNanos, this.settings);
			table.trafficShare(entry.getKey(), share);
			if (share >= 1) {
				all.remove();
			}
		}
	}

	/**
	 * The state of one upstream.
	 */
	private static final class Circuit {

		private final Set<ModelId> models = new HashSet<>();

		private int failuresInRow;

		private int ejections;

		private long openUntilNanos;

		boolean isOpen(long nowNanos) {
			return this.ejections > 0 && nowNanos < this.openUntilNanos;
		}

		boolean isReturning(long nowNanos, EjectionSettings settings) {
			return this.ejections > 0 && !isOpen(nowNanos) && nowNanos < this.openUntilNanos + settings.returnNanos();
		}

		void open(long nowNanos, EjectionSettings settings) {
			long length = Math.min(settings.longestNanos(),
					settings.ejectionNanos() << Math.min(this.ejections, Integer.SIZE));
			this.ejections++;
			this.failuresInRow = 0;
			this.openUntilNanos = nowNanos + length;
		}

		void answered(long nowNanos, EjectionSettings settings) {
			this.failuresInRow = 0;
			if (!isOpen(nowNanos) && !isReturning(nowNanos, settings)) {
				this.ejections = 0;
			}
		}

		double share(long nowNanos, EjectionSettings settings) {
			if (this.ejections == 0) {
				return 1;
			}
			if (isOpen(nowNanos)) {
				return 0;
			}
			double part = (nowNanos - this.openUntilNanos) / (double) settings.returnNanos();
			return Math.min(1, FIRST_SHARE + (1 - FIRST_SHARE) * part);
		}

	}

}
