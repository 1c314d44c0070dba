package io.bulrushrouter.daemon.entry;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Tracks the requests that wait for fresh load reports of probed sidecars before their
 * upstream is chosen. Accessed by the entry's duty only.
 */
final class ProbeRounds {

	/**
	 * How long a request waits for probe answers; the upstream is then chosen without the
	 * missing ones.
	 */
	static final long PROBE_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(5);

	private final Map<Long, Round> rounds = new LinkedHashMap<>();

	private final Map<Long, Long> requestByProbe = new HashMap<>();

	private long lastProbe;

	/**
	 * Starts the probe round of a request.
	 * @param request the request's number
	 * @param nowNanos the current time, in nanoseconds
	 */
	void begin(long request, long nowNanos) {
		this.rounds.put(request, new Round(nowNanos + PROBE_TIMEOUT_NANOS));
	}

	/**
	 * Adds a probe of one sidecar to a request's round.
	 * @param request the request's number
	 * @return the probe's number
	 */
	long addProbe(long request) {
		this.lastProbe++;
		this.rounds.get(request).pendingProbes.add(this.lastProbe);
		this.requestByProbe.put(this.lastProbe, request);
		return this.lastProbe;
	}

	/**
	 * Records the answer to a probe.
	 * @param probe the probe's number
	 * @return the number of the request whose round is thereby complete, or 0 if there is
	 * none
	 */
	long recordAnswer(long probe) {
		Long request = this.requestByProbe.remove(probe);
		Round round = (request != null) ? this.rounds.get(request) : null;
		if (round == null) {
			return 0;
		}
		round.pendingProbes.remove(probe);
		return round.pendingProbes.isEmpty() ? finish(request) : 0;
	}

	/**
	 * Ends the probe round of a request.
	 * @param request the request's number
	 * @return the request's number
	 */
	long finish(long request) {
		Round round = this.rounds.remove(request);
		if (round != null) {
			round.pendingProbes.forEach(this.requestByProbe::remove);
		}
		return request;
	}

	boolean isComplete(long request) {
		return this.rounds.get(request).pendingProbes.isEmpty();
	}

	/**
	 * Ends the rounds whose timeout has passed.
	 * @param nowNanos the current time, in nanoseconds
	 * @return the numbers of their requests
	 */
	List<Long> removeExpired(long nowNanos) {
		List<Long> expired = new ArrayList<>();
		Iterator<Map.Entry<Long, Round>> iterator = this.rounds.entrySet().iterator();
		while (iterator.hasNext()) {
			Map.Entry<Long, Round> entry = iterator.next();
			if (entry.getValue().deadlineNanos > nowNanos) {
				break;
			}
			expired.add(entry.getKey());
			entry.getValue().pendingProbes.forEach(this.requestByProbe::remove);
			iterator.remove();
		}
		return expired;
	}

	private static final class Round {

		private final long deadlineNanos;

		private final Set<Long> pendingProbes = new HashSet<>();

		private Round(long deadlineNanos) {
			this.deadlineNanos = deadlineNanos;
		}

	}

}
