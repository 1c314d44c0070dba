package io.bulrushrouter.gateway.quarantine;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.ToIntFunction;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Decides from the crashes that all entries have reported which requests are kept from
 * upstreams. A fingerprint is suspected of a crash if a request with it was running there
 * and its response had hardly begun; it is cleared of all crashes as soon as the response
 * to a request with it gets further. What is suspected of several crashes is quarantined:
 * requests with it are refused for a time, after which the entries let one request after
 * the other through as a trial. Reports can be merged in any order. Not thread-safe.
 */
public final class CrashEvidence {

	private static final Logger logger = LoggerFactory.getLogger(CrashEvidence.class);

	/**
	 * Events after which the upstream is known to have survived the start of a response.
	 * The first one may be sent by an upstream that is about to crash.
	 */
	public static final int EVENTS_OF_SOUND_START = 2;

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
	 * Crashes that a fingerprint is suspected of before other entries need to know at
	 * once.
	 */
	private static final int CRASHES_TO_REPORT_AT_ONCE = CRASHES_TO_QUARANTINE - 1;

	/** Duration of the first quarantine, which each further crash doubles. */
	static final long FIRST_QUARANTINE_NANOS = TimeUnit.MINUTES.toNanos(2);

	static final long MAX_QUARANTINE_NANOS = TimeUnit.HOURS.toNanos(1);

	/**
	 * Interval between the trials of two entries, within which the second one learns how
	 * the trial of the first one ended.
	 */
	static final long TRIAL_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(10);

	/** How long a crash is remembered. It exceeds the longest quarantine. */
	private static final long RETENTION_NANOS = TimeUnit.HOURS.toNanos(2);

	/**
	 * How long a response clears its request's fingerprints of crashes that follow. It
	 * keeps what most requests have in common from being suspected at all.
	 */
	static final long RECENT_SUCCESS_NANOS = TimeUnit.SECONDS.toNanos(30);

	/** Limit of the remembered successes; the one used longest ago is dropped first. */
	private static final int MAX_SUCCESSES = 4_096;

	/** Limit of the crashes in this entry's report; the oldest is dropped first. */
	static final int MAX_REPORTED_CRASHES = 64;

	/** Limit of the fingerprints that this entry reports for a crash. */
	static final int MAX_FINGERPRINTS_PER_CRASH = 64;

	private final String instance;

	private final long incarnation;

	private final ToIntFunction<String> trialOrder;

	private final Map<String, CrashReport> others = new HashMap<>();

	private final Map<CrashId, Set<Fingerprint>> suspected = new LinkedHashMap<>();

	private final Map<CrashId, Set<Fingerprint>> cleared = new LinkedHashMap<>();

	private final Map<CrashId, Long> learnedNanos = new HashMap<>();

	private final Map<Fingerprint, Suspicion> suspicions = new HashMap<>();

	private final Map<Fingerprint, Long> trialNanos = new HashMap<>();

	private final Map<Fingerprint, Long> successNanos = new LinkedHashMap<>(16, 0.75f, true) {
		@Override
		protected boolean removeEldestEntry(Map.Entry<Fingerprint, Long> eldest) {
			return size() > MAX_SUCCESSES;
		}
	};

	private Runnable onChange = () -> {
	};

	/**
	 * What was cleared of a single crash since the last report. Other entries need to
	 * know of it only if another crash follows.
	 */
	private final Set<Fingerprint> unreportedClearances = new HashSet<>();

	private CrashReport lastReport;

	private boolean urgent;

	private long clearedFingerprints;

	/**
	 * Creates an instance without evidence.
	 * @param instance the name of this entry
	 * @param incarnation a number that tells this process from earlier ones of the entry
	 * @param trialOrder returns the position of this entry among all entries that may let
	 * a request with a given fingerprint through as a trial, from 0
	 */
	public CrashEvidence(String instance, long incarnation, ToIntFunction<String> trialOrder) {
		this.instance = instance;
		this.incarnation = incarnation;
		this.trialOrder = trialOrder;
		this.lastReport = new CrashReport(incarnation, 0, Map.of(), Map.of());
	}

	/**
	 * Sets what runs when this entry has something to report.
	 * @param onChange the callback
	 */
	public void onChange(Runnable onChange) {
		this.onChange = onChange;
	}

	/**
	 * Records that an upstream crashed while it ran requests of this entry.
	 * @param crash the crash
	 * @param fingerprints the fingerprints of the requests
	 * @param nowNanos the current monotonic time, in nanoseconds
	 */
	public void crashed(CrashId crash, Collection<Fingerprint> fingerprints, long nowNanos) {
		Set<Fingerprint> reported = this.suspected.computeIfAbsent(crash, (key) -> new LinkedHashSet<>());
		fingerprints.stream()
			.filter((fingerprint) -> !succeededRecently(fingerprint, nowNanos))
			.limit(MAX_FINGERPRINTS_PER_CRASH - reported.size())
			.forEach(reported::add);
		this.suspected.values().removeIf(Set::isEmpty);
		dropOldest(this.suspected);
		this.learnedNanos.putIfAbsent(crash, nowNanos);
		rebuild(nowNanos);
		this.urgent |= reported.stream().anyMatch((fingerprint) -> crashes(fingerprint) >= CRASHES_TO_REPORT_AT_ONCE);
		this.onChange.run();
	}

	private boolean succeededRecently(Fingerprint fingerprint, long nowNanos) {
		Long succeeded = this.successNanos.get(fingerprint);
		return succeeded != null && nowNanos - succeeded < RECENT_SUCCESS_NANOS;
	}

	private static void dropOldest(Map<CrashId, Set<Fingerprint>> reported) {
		while (reported.size() > MAX_REPORTED_CRASHES) {
			CrashId oldest = reported.keySet().iterator().next();
			logger.warn("event=crash-report-truncated upstream={} fingerprints={}", oldest.upstream(),
					reported.remove(oldest).size());
		}
	}

	/**
	 * Records that an upstream has survived the start of a response, or has sent it
	 * whole.
	 * @param fingerprints the fingerprints of the request
	 * @param nowNanos the current monotonic time, in nanoseconds
	 */
	public void succeeded(Collection<Fingerprint> fingerprints, long nowNanos) {
		for (Fingerprint fingerprint : fingerprints) {
			this.successNanos.put(fingerprint, nowNanos);
			clear(fingerprint, nowNanos);
		}
	}

	private void clear(Fingerprint fingerprint, long nowNanos) {
		Suspicion suspicion = this.suspicions.get(fingerprint);
		if (suspicion == null) {
			return;
		}
		for (CrashId crash : suspicion.crashes()) {
			this.cleared.computeIfAbsent(crash, (key) -> new LinkedHashSet<>()).add(fingerprint);
			this.suspected.getOrDefault(crash, new HashSet<>()).remove(fingerprint);
		}
		this.suspected.values().removeIf(Set::isEmpty);
		dropOldest(this.cleared);
		this.clearedFingerprints++;
		this.unreportedClearances.add(fingerprint);
		rebuild(nowNanos);
		if (suspicion.crashes().size() >= CRASHES_TO_REPORT_AT_ONCE) {
			logger.info("event=suspicion-cleared fingerprint={} crashes={}", fingerprint.text(),
					suspicion.crashes().size());
			this.urgent = true;
			this.onChange.run();
		}
	}

	/**
	 * Merges reports of entries.
	 * @param reports the reports by the names of their entries
	 * @param nowNanos the current monotonic time, in nanoseconds
	 */
	public void merge(Map<String, CrashReport> reports, long nowNanos) {
		List<CrashReport> newer = new ArrayList<>();
		reports.forEach((reporter, report) -> {
			if (reporter.equals(this.instance) && report.incarnation() == this.incarnation) {
				mergeOwn(report);
			}
			else if (replacesKnown(reporter, report)) {
				newer.add(report);
			}
		});
		if (newer.isEmpty()) {
			return;
		}
		newer.forEach((report) -> report.suspected()
			.keySet()
			.forEach((crash) -> this.learnedNanos.putIfAbsent(crash, nowNanos)));
		rebuild(nowNanos);
		if (newer.stream().anyMatch(this::suspectedAfterClearance)) {
			this.urgent = true;
			this.onChange.run();
		}
		Set.copyOf(this.suspicions.keySet())
			.stream()
			.filter((fingerprint) -> succeededRecently(fingerprint, nowNanos))
			.forEach((fingerprint) -> clear(fingerprint, nowNanos));
	}

	// An older write may have been carried out after a newer one, or the store may have
	// been restored from a copy.
	private void mergeOwn(CrashReport report) {
		if (report.sequence() < this.lastReport.sequence()) {
			reportLost();
		}
	}

	// An entry that restarts has forgotten what it reported before; the others have not.
	private boolean replacesKnown(String reporter, CrashReport report) {
		String process = reporter + "@" + report.incarnation();
		CrashReport known = this.others.get(process);
		if (known != null && known.sequence() >= report.sequence()) {
			return false;
		}
		this.others.put(process, report);
		return true;
	}

	private boolean suspectedAfterClearance(CrashReport report) {
		return !this.unreportedClearances.isEmpty() && report.suspected()
			.values()
			.stream()
			.flatMap(Set::stream)
			.anyMatch((fingerprint) -> this.unreportedClearances.contains(fingerprint) && crashes(fingerprint) > 0);
	}

	private void rebuild(long nowNanos) {
		Map<CrashId, Set<Fingerprint>> allCleared = new HashMap<>();
		this.others.values().forEach((report) -> CrashReports.addAll(allCleared, report.cleared()));
		CrashReports.addAll(allCleared, this.cleared);
		Map<CrashId, Set<Fingerprint>> allSuspected = new HashMap<>();
		this.others.values().forEach((report) -> CrashReports.addAll(allSuspected, report.suspected()));
		CrashReports.addAll(allSuspected, this.suspected);
		Map<Fingerprint, Suspicion> previous = new HashMap<>(this.suspicions);
		this.suspicions.clear();
		allSuspected.forEach((crash, fingerprints) -> fingerprints.stream()
			.filter((fingerprint) -> !allCleared.getOrDefault(crash, Set.of()).contains(fingerprint))
			.forEach((fingerprint) -> this.suspicions.computeIfAbsent(fingerprint, (key) -> new Suspicion())
				.add(crash, this.learnedNanos.getOrDefault(crash, nowNanos))));
		this.suspicions.forEach(this::judge);
		this.trialNanos.keySet().retainAll(this.suspicions.keySet());
		logQuarantines(previous);
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

	private void logQuarantines(Map<Fingerprint, Suspicion> previous) {
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

	private boolean quarantined(Fingerprint fingerprint) {
		Suspicion suspicion = this.suspicions.get(fingerprint);
		return suspicion != null && suspicion.quarantined();
	}

	private int crashes(Fingerprint fingerprint) {
		Suspicion suspicion = this.suspicions.get(fingerprint);
		return (suspicion != null) ? suspicion.crashes().size() : 0;
	}

	/**
	 * Returns why a request must not be sent to an upstream now.
	 * @param fingerprints the fingerprints of the request
	 * @param nowNanos the current monotonic time, in nanoseconds
	 * @return the quarantine that applies to it, or empty if it may be sent
	 */
	public Optional<Quarantine> quarantine(Collection<Fingerprint> fingerprints, long nowNanos) {
		if (this.suspicions.isEmpty()) {
			return Optional.empty();
		}
		for (Fingerprint fingerprint : fingerprints) {
			if (quarantined(fingerprint)) {
				long remaining = nextTrialNanos(fingerprint) - nowNanos;
				if (remaining > 0) {
					return Optional.of(new Quarantine(fingerprint, this.suspicions.get(fingerprint).upstreams(),
							TimeUnit.NANOSECONDS.toMillis(remaining)));
				}
			}
		}
		return Optional.empty();
	}

	private long nextTrialNanos(Fingerprint fingerprint) {
		Suspicion suspicion = this.suspicions.get(fingerprint);
		Long trial = this.trialNanos.get(fingerprint);
		long end = suspicion.endNanos() + this.trialOrder.applyAsInt(fingerprint.text()) * TRIAL_INTERVAL_NANOS;
		return (trial != null) ? Math.max(end, trial + TRIAL_INTERVAL_NANOS) : end;
	}

	/**
	 * Records that a request is sent to an upstream.
	 * @param fingerprints the fingerprints of the request
	 * @param nowNanos the current monotonic time, in nanoseconds
	 */
	public void sent(Collection<Fingerprint> fingerprints, long nowNanos) {
		if (this.suspicions.isEmpty()) {
			return;
		}
		fingerprints.stream().filter(this::quarantined).forEach((fingerprint) -> {
			logger.info("event=quarantine-trial fingerprint={}", fingerprint.text());
			this.trialNanos.put(fingerprint, nowNanos);
		});
	}

	/**
	 * Forgets old crashes.
	 * @param nowNanos the current monotonic time, in nanoseconds
	 */
	public void expire(long nowNanos) {
		Set<CrashId> expired = new HashSet<>();
		this.learnedNanos.forEach((crash, learned) -> {
			if (nowNanos - learned > RETENTION_NANOS) {
				expired.add(crash);
			}
		});
		if (expired.isEmpty()) {
			return;
		}
		this.learnedNanos.keySet().removeAll(expired);
		this.suspected.keySet().removeAll(expired);
		this.cleared.keySet().removeAll(expired);
		this.unreportedClearances
			.removeIf((fingerprint) -> this.cleared.values().stream().noneMatch((set) -> set.contains(fingerprint)));
		this.others.replaceAll((process, report) -> CrashReports.without(report, expired));
		this.others.values().removeIf((report) -> report.suspected().isEmpty() && report.cleared().isEmpty());
		rebuild(nowNanos);
	}

	/**
	 * Returns whether this entry has seen something that is not in its last report and
	 * that other entries need to know.
	 * @return whether a report is due
	 */
	public boolean reportDue() {
		return this.urgent || this.suspected.entrySet()
			.stream()
			.anyMatch((entry) -> !this.lastReport.suspected()
				.getOrDefault(entry.getKey(), Set.of())
				.containsAll(entry.getValue()));
	}

	/**
	 * Returns whether other entries need to know the report at once.
	 * @return whether a fingerprint is about to be quarantined or was cleared
	 */
	public boolean urgent() {
		return this.urgent;
	}

	/**
	 * Returns whether something is suspected of a crash.
	 * @return whether there is a suspicion
	 */
	public boolean suspicious() {
		return !this.suspicions.isEmpty();
	}

	/**
	 * Returns the number of fingerprints that are suspected of a crash.
	 * @return the number
	 */
	public int suspects() {
		return this.suspicions.size();
	}

	/**
	 * Returns the number of fingerprints that are quarantined.
	 * @return the number
	 */
	public int quarantines() {
		return (int) this.suspicions.values().stream().filter(Suspicion::quarantined).count();
	}

	/**
	 * Returns how often this entry has cleared a fingerprint.
	 * @return the number
	 */
	public long clearedFingerprints() {
		return this.clearedFingerprints;
	}

	/**
	 * Returns this entry's next report. It includes what an earlier process of the entry
	 * reported, since it replaces that report.
	 * @return the report
	 */
	public CrashReport nextReport() {
		this.urgent = false;
		this.unreportedClearances.clear();
		Map<CrashId, Set<Fingerprint>> allSuspected = CrashReports.copy(this.suspected);
		Map<CrashId, Set<Fingerprint>> allCleared = CrashReports.copy(this.cleared);
		this.others.forEach((process, report) -> {
			if (process.startsWith(this.instance + "@")) {
				CrashReports.addAll(allSuspected, report.suspected());
				CrashReports.addAll(allCleared, report.cleared());
			}
		});
		this.lastReport = new CrashReport(this.incarnation, this.lastReport.sequence() + 1, allSuspected, allCleared);
		return this.lastReport;
	}

	/**
	 * Returns whether this entry has reported anything.
	 * @return whether there is a last report
	 */
	public boolean hasReported() {
		return this.lastReport.sequence() > 0;
	}

	/**
	 * Records that the last report did not reach the other entries.
	 */
	public void reportLost() {
		this.urgent = true;
		this.onChange.run();
	}

	/**
	 * The reason why a request is kept from upstreams.
	 *
	 * @param fingerprint what the request has in common with those that were running at
	 * the crashes
	 * @param upstreams the upstreams that crashed
	 * @param remainingMillis the time until this entry lets a request through again, in
	 * milliseconds
	 */
	public record Quarantine(Fingerprint fingerprint, Set<String> upstreams, long remainingMillis) {
	}

}
