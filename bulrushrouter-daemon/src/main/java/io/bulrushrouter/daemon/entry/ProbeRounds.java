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
 * The requests that wait for fresh reports before their upstream is chosen. Owned by the
 * entry's duty.
 */
final class ProbeRounds {

	/**
	 * How long a request waits for answers; the choice goes on without those that are
	 * late.
	 */
	static final long WAIT_NANOS = TimeUnit.MILLISECONDS.toNanos(5);

	private final Map<Long, Round> rounds = new LinkedHashMap<>();

	private final Map<Long, Long> roundOfQuestion = new HashMap<>();

	private long lastQuestion;

	/**
	 * Begins a request's round.
	 * @param request the request's number
	 * @param nowNanos the time
	 */
	void begin(long request, long nowNanos) {
		this.rounds.put(request, new Round(nowNanos + WAIT_NANOS));
	}

	/**
	 * Notes that a request asks one more sidecar.
	 * @param request the request's number
	 * @return the question's number
	 */
	long ask(long request) {
		this.lastQuestion++;
		this.rounds.get(request).open.add(this.lastQuestion);
		this.roundOfQuestion.put(this.lastQuestion, request);
		return this.lastQuestion;
	}

	/**
	 * Takes an answer.
	 * @param question the question's number
	 * @return the request whose last answer it was, or 0 if there is none
	 */
	long answered(long question) {
		Long request = this.roundOfQuestion.remove(question);
		Round round = (request != null) ? this.rounds.get(request) : null;
		if (round == null) {
			return 0;
		}
		round.open.remove(question);
		return round.open.isEmpty() ? finish(request) : 0;
	}

	/**
	 * Ends a request's round.
	 * @param request the request's number
	 * @return the number
	 */
	long finish(long request) {
		Round round = this.rounds.remove(request);
		if (round != null) {
			round.open.forEach(this.roundOfQuestion::remove);
		}
		return request;
	}

	boolean isEmpty(long request) {
		return this.rounds.get(request).open.isEmpty();
	}

	/**
	 * Ends the rounds that have waited long enough.
	 * @param nowNanos the time
	 * @return their requests' numbers
	 */
	List<Long> expired(long nowNanos) {
		List<Long> expired = new ArrayList<>();
		Iterator<Map.Entry<Long, Round>> iterator = this.rounds.entrySet().iterator();
		while (iterator.hasNext()) {
			Map.Entry<Long, Round> entry = iterator.next();
			if (entry.getValue().untilNanos > nowNanos) {
				break;
			}
			expired.add(entry.getKey());
			entry.getValue().open.forEach(this.roundOfQuestion::remove);
			iterator.remove();
		}
		return expired;
	}

	private static final class Round {

		private final long untilNanos;

		private final Set<Long> open = new HashSet<>();

		private Round(long untilNanos) {
			this.untilNanos = untilNanos;
		}

	}

}
