package io.bulrushrouter.gateway.quarantine;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.ToIntFunction;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * What is suspected of crashes according to the reports of all entries, and which of it
 * is in quarantine. Not thread-safe.
 */
final class SuspicionTable {

	private static final Logger logger = LoggerFactory.getLogger(SuspicionTable.class);

	/**
	 * Crashes that a fingerprint is suspected of before it is quarantined, if it was
	 * hardly running there by chance.
	 */
	static final int CRASHES_TO_QUARANTINE = 3;

	/**
	 * Crashes that a fingerprint is suspected of before it is quarantined in any case.
	 */
	static final int MAX_CRASHES_TO_QUARANTINE = 5;

	/**
	 * Share of the crashes from the first to the last suspicion below which a fingerprint
	 * may have been running there by chance.
	 */
	private static final double MIN_SHARE_OF_CRASHES = 1.0 / 3;

	/**
	 * Interval between the trials of two entries, within which the second one learns how
	 * the trial of the first one ended.
	 */
	static final long TRIAL_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(10);

	private final ToIntFunction<String> trialOrder;

	private final Map<CrashId, Long> learnedNanos = new HashMap<>();

	private final Map<Fingerprint, Suspicion> suspicions = new HashMap<>();

	private final Map<Fingerprint, Long> trialNanos = new HashMap<>();

	private long lastCrashNanos;

	SuspicionTable(ToIntFunction<String> trialOrder) {
		this.trialOrder = trialOrder;
	}

	/**
	 * Records when this entry learns of crashes.
	 * @param crashes the crashes
	 * @param nowNanos the current monotonic time, in nanoseconds
	 */
	void learn(Collection<CrashId> crashes, long nowNanos) {
		for (CrashId crash : crashes) {
			if (this.learnedNanos.putIfAbsent(crash, nowNanos) == null) {
				this.lastCrashNanos = nowNanos;
			}
		}
	}

	/**
	 * Derives the suspicions anew.
	 * @param reports the last reports of all entries
	 */
	void rebuild(Collection<CrashReport> reports) {
		Map<CrashId, Set<Fingerprint>> cleared = new HashMap<>();
		reports.forEach((report) -> CrashReports.addAll(cleared, report.cleared()));
		Map<CrashId, Set<Fingerprint>> suspected = new HashMap<>();
		reports.forEach((report) -> CrashReports.addAll(suspected, report.suspected()));
		Map<Fingerprint, Suspicion> previous = new HashMap<>(this.suspicions);
		this.suspicions.clear();
		suspected.forEach((crash, fingerprints) -> {
			Set<Fingerprint> clearedOfCrash = cleared.getOrDefault(crash, Set.of());
			fingerprints.stream()
				.filter((fingerprint) -> !clearedOfCrash.contains(fingerprint))
				.forEach((fingerprint) -> this.suspicions.computeIfAbsent(fingerprint, (key) -> new Suspicion())
					.add(crash, this.learnedNanos.get(crash)));
		});
		this.suspicions.forEach(this::judge);
		this.trialNanos.keySet().retainAll(this.suspicions.keySet());
		logChanges(previous);
	}

	private void judge(Fingerprint fingerprint, Suspicion suspicion) {
		int count = suspicion.crashes().size();
		suspicion.quarantined(count >= MAX_CRASHES_TO_QUARANTINE
				|| (count >= CRASHES_TO_QUARANTINE && likelyCause(fingerprint, suspicion)));
	}

	private boolean likelyCause(Fingerprint fingerprint, Suspicion suspicion) {
		if (fingerprint.identifiesRequest()) {
			return true;
		}
		long crashesMeanwhile = this.learnedNanos.values()
			.stream()
			.filter((learned) -> learned >= suspicion.firstNanos() && learned <= suspicion.lastNanos())
			.count();
		return suspicion.crashes().size() >= MIN_SHARE_OF_CRASHES * crashesMeanwhile;
	}

	private void logChanges(Map<Fingerprint, Suspicion> previous) {
		this.suspicions.forEach((fingerprint, suspicion) -> {
			Suspicion before = previous.get(fingerprint);
			int crashesBefore = (before != null) ? before.crashes().size() : 0;
			if (suspicion.quarantined() && suspicion.crashes().size() > crashesBefore) {
				logger.warn("event=quarantined fingerprint={} crashes={} upstreams={} millis={}", fingerprint.text(),
						suspicion.crashes().size(), suspicion.upstreams(),
						TimeUnit.NANOSECONDS.toMillis(suspicion.durationNanos()));
			}
		});
		previous.forEach((fingerprint, suspicion) -> {
			if (suspicion.quarantined() && !quarantined(fingerprint)) {
				logger.info("event=quarantine-lifted fingerprint={}", fingerprint.text());
			}
		});
	}

	Optional<Suspicion> suspicion(Fingerprint fingerprint) {
		return Optional.ofNullable(this.suspicions.get(fingerprint));
	}

	Set<Fingerprint> fingerprints() {
		return Set.copyOf(this.suspicions.keySet());
	}

	/**
	 * Returns the number of crashes that a fingerprint is suspected of.
	 * @param fingerprint the fingerprint
	 * @return the number
	 */
	int crashes(Fingerprint fingerprint) {
		return suspicion(fingerprint).map((found) -> found.crashes().size()).orElse(0);
	}

	boolean quarantined(Fingerprint fingerprint) {
		return suspicion(fingerprint).filter(Suspicion::quarantined).isPresent();
	}

	/**
	 * Returns the time until this entry may send a request with a fingerprint.
	 * @param fingerprint a fingerprint in quarantine
	 * @param nowNanos the current monotonic time, in nanoseconds
	 * @return the time in nanoseconds, 0 or less if a trial may begin
	 */
	long nanosToTrial(Fingerprint fingerprint, long nowNanos) {
		long end = this.suspicions.get(fingerprint).endNanos()
				+ this.trialOrder.applyAsInt(fingerprint.text()) * TRIAL_INTERVAL_NANOS;
		Long lastTrial = this.trialNanos.get(fingerprint);
		return ((lastTrial != null) ? Math.max(end, lastTrial + TRIAL_INTERVAL_NANOS) : end) - nowNanos;
	}

	void startTrial(Fingerprint fingerprint, long nowNanos) {
		logger.info("event=quarantine-trial fingerprint={}", fingerprint.text());
		this.trialNanos.put(fingerprint, nowNanos);
	}

	/**
	 * Forgets the crashes that were learned of before a time.
	 * @param beforeNanos the time, in nanoseconds on the monotonic clock
	 * @return the forgotten crashes
	 */
	Set<CrashId> forget(long beforeNanos) {
		Set<CrashId> forgotten = new HashSet<>();
		this.learnedNanos.forEach((crash, learned) -> {
			if (learned < beforeNanos) {
				forgotten.add(crash);
			}
		});
		this.learnedNanos.keySet().removeAll(forgotten);
		return forgotten;
	}

	boolean isEmpty() {
		return this.suspicions.isEmpty();
	}

	int size() {
		return this.suspicions.size();
	}

	int quarantines() {
		return (int) this.suspicions.values().stream().filter(Suspicion::quarantined).count();
	}

	/**
	 * Returns when this entry last learned of a crash.
	 * @return the time, in nanoseconds on the monotonic clock
	 */
	long lastCrashNanos() {
		return this.lastCrashNanos;
	}

}
