package io.bulrushrouter.launcher;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicLong;

import io.bulrushrouter.kernel.NotRunStatus;

/**
 * What upstreams ran and callers were told in a soak, and which promises were broken.
 */
final class SoakOutcomes {

	/** Attempts that the configuration allows for a request. */
	private static final int MAX_ATTEMPTS = 2;

	private final Map<String, Integer> runs = new ConcurrentHashMap<>();

	private final Set<String> resets = ConcurrentHashMap.newKeySet();

	private final Map<String, Integer> promised = new ConcurrentHashMap<>();

	private final Set<String> unanswered = ConcurrentHashMap.newKeySet();

	private final List<String> faults = new CopyOnWriteArrayList<>();

	private final AtomicLong successes = new AtomicLong();

	private final AtomicLong answers = new AtomicLong();

	private final Map<String, SoakEntry> entries = new ConcurrentHashMap<>();

	void ran(String id) {
		this.runs.merge(id, 1, Integer::sum);
	}

	void reset(String id) {
		this.resets.add(id);
	}

	/**
	 * Records a request that reached an upstream after the time that entries have to
	 * notice its leaving.
	 * @param id the identifier of the request
	 */
	void late(String id) {
		SoakEntry entry = this.entries.get(SoakCaller.entryOf(id));
		if (entry != null && entry.inTouch()) {
			fault(id + " reached an upstream that had left");
		}
	}

	void entry(String name, SoakEntry entry) {
		this.entries.put(name, entry);
	}

	void fault(String text) {
		this.faults.add(text);
	}

	/**
	 * Records a request that ended with its connection though its entry was not killed.
	 * @param id the identifier of the request
	 */
	void unanswered(String id) {
		this.unanswered.add(id);
	}

	/**
	 * Records an answer.
	 * @param id the identifier of the request
	 * @param status the status
	 * @param head the head of the answer
	 * @param body the body
	 */
	void answered(String id, int status, String head, String body) {
		this.answers.incrementAndGet();
		String stamp = SoakCaller.field(head, ClientShape.NAMES.stamp());
		String echo = SoakCaller.field(head, ClientShape.NAMES.attemptId());
		if (!echo.isEmpty() && !echo.equals(id)) {
			fault(id + " got the answer to " + echo);
		}
		if (status == 200) {
			this.successes.incrementAndGet();
			if (!stamp.equals("s-200") || !body.equals("ok-" + id)) {
				fault(id + " got another answer than the upstream's: " + head + body);
			}
		}
		else if (!stamp.isEmpty() && !stamp.equals("s-" + status)) {
			fault(id + " got " + status + " for " + stamp);
		}
		else if (stamp.isEmpty() && status < 500 && !NotRunStatus.includes(status)) {
			fault(id + " was denied: " + head + body);
		}
		if (NotRunStatus.includes(status) && id.contains(SoakCaller.ONCE)) {
			this.promised.put(id, status);
		}
	}

	long successes() {
		return this.successes.get();
	}

	long answers() {
		return this.answers.get();
	}

	/**
	 * Returns the broken promises, once nothing is sent any longer.
	 * @return a line for each
	 */
	List<String> faults() {
		this.promised.keySet()
			.stream()
			.filter(this.runs::containsKey)
			.forEach((id) -> fault(id + " has run and was answered " + this.promised.get(id)));
		this.unanswered.stream()
			.filter((id) -> this.runs.containsKey(id) && !this.resets.contains(id))
			.forEach((id) -> fault(id + " has run and its connection ended without an answer"));
		this.runs.forEach((id, count) -> {
			if (count > (id.contains(SoakCaller.ONCE) ? 1 : MAX_ATTEMPTS)) {
				fault(id + " ran " + count + " times");
			}
		});
		return this.faults;
	}

}
