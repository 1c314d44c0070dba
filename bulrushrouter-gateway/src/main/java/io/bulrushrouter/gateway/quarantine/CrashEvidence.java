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
	 * Crashes that a fingerprint is suspected of before other entries need to know at
	 * once.
	 */
	private static final int CRASHES_TO_REPORT_AT_ONCE = SuspicionTable.CRASHES_TO_QUARANTINE - 1;

	/** Duration of the first quarantine, which each further crash doubles. */
	static final long FIRST_QUARANTINE_NANOS = TimeUnit.MINUTES.toNanos(2);

	static final long MAX_QUARANTINE_NANOS = TimeUnit.HOURS.toNanos(1);

	/** How long a crash is remembered. It exceeds the longest quarantine. */
	private static final long RETENTION_NANOS = TimeUnit.HOURS.toNanos(2);

	/**
	 * How long a response clears its request's fingerprints of crashes that follow. It
	 * keeps what most requests have in common from being suspected at all.
	 */
	static final long RECENT_SUCCESS_NANOS = TimeUnit.SECONDS.toNanos(30);

	/** Time within which a crash is followed by others if it has a cause in common. */
	private static final long RECENT_CRASH_NANOS = TimeUnit.SECONDS.toNanos(30);

	/** Limit of the remembered successes; the one used longest ago is dropped first. */
	private static final int MAX_SUCCESSES = 4_096;

	/** Limit of the crashes in this entry's report; the oldest is dropped first. */
	static final int MAX_REPORTED_CRASHES = 64;

	/** Limit of the fingerprints that this entry reports for a crash. */
	static final int MAX_FINGERPRINTS_PER_CRASH = 64;

	private final String instance;

	private final long incarnation;

	private final Map<String, CrashReport> others = new HashMap<>();

	private final Map<CrashId, Set<Fingerprint>> suspected = new LinkedHashMap<>();

	private final Map<CrashId, Set<Fingerprint>> cleared = new LinkedHashMap<>();

	private final SuspicionTable suspicions;

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
		this.suspicions = new SuspicionTable(trialOrder);
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
		this.suspicions.learn(List.of(crash), nowNanos);
		rebuild();
		this.urgent |= reported.stream()
			.anyMatch((fingerprint) -> this.suspicions.crashes(fingerprint) >= CRASHES_TO_REPORT_AT_ONCE);
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
		fingerprints.forEach((fingerprint) -> this.successNanos.put(fingerprint, nowNanos));
		clear(fingerprints);
	}

	private void clear(Collection<Fingerprint> fingerprints) {
		List<Fingerprint> suspects = fingerprints.stream()
			.filter((fingerprint) -> this.suspicions.crashes(fingerprint) > 0)
			.toList();
		if (suspects.isEmpty()) {
			return;
		}
		boolean reportAtOnce = false;
		for (Fingerprint fingerprint : suspects) {
			Set<CrashId> crashes = this.suspicions.suspicion(fingerprint).orElseThrow().crashes();
			crashes.forEach((crash) -> clear(fingerprint, crash));
			this.unreportedClearances.add(fingerprint);
			if (crashes.size() >= CRASHES_TO_REPORT_AT_ONCE) {
				logger.info("event=suspicion-cleared fingerprint={} crashes={}", fingerprint.text(), crashes.size());
				reportAtOnce = true;
			}
		}
		this.suspected.values().removeIf(Set::isEmpty);
		dropOldest(this.cleared);
		this.clearedFingerprints += suspects.size();
		rebuild();
		if (reportAtOnce) {
			this.urgent = true;
			this.onChange.run();
		}
	}

	private void clear(Fingerprint fingerprint, CrashId crash) {
		this.cleared.computeIfAbsent(crash, (key) -> new LinkedHashSet<>()).add(fingerprint);
		this.suspected.getOrDefault(crash, new HashSet<>()).remove(fingerprint);
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
		newer.forEach((report) -> this.suspicions.learn(report.suspected().keySet(), nowNanos));
		rebuild();
		if (newer.stream().anyMatch(this::suspectedAfterClearance)) {
			this.urgent = true;
			this.onChange.run();
		}
		clear(this.suspicions.fingerprints()
			.stream()
			.filter((fingerprint) -> succeededRecently(fingerprint, nowNanos))
			.toList());
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
			.anyMatch((fingerprint) -> this.unreportedClearances.contains(fingerprint)
					&& this.suspicions.crashes(fingerprint) > 0);
	}

	private void rebuild() {
		List<CrashReport> reports = new ArrayList<>(this.others.values());
		reports.add(new CrashReport(this.incarnation, 0, this.suspected, this.cleared));
		this.suspicions.rebuild(reports);
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
			if (this.suspicions.quarantined(fingerprint)) {
				long remaining = this.suspicions.nanosToTrial(fingerprint, nowNanos);
				if (remaining > 0) {
					return Optional.of(new Quarantine(fingerprint,
							this.suspicions.suspicion(fingerprint).orElseThrow().upstreams(),
							TimeUnit.NANOSECONDS.toMillis(remaining)));
				}
			}
		}
		return Optional.empty();
	}

	/**
	 * Records that a request is sent to an upstream.
	 * @param fingerprints the fingerprints of the request
	 * @param nowNanos the current monotonic time, in nanoseconds
	 */
	public void sent(Collection<Fingerprint> fingerprints, long nowNanos) {
		fingerprints.stream()
			.filter(this.suspicions::quarantined)
			.forEach((fingerprint) -> this.suspicions.startTrial(fingerprint, nowNanos));
	}

	/**
	 * Forgets old crashes.
	 * @param nowNanos the current monotonic time, in nanoseconds
	 */
	public void expire(long nowNanos) {
		Set<CrashId> expired = this.suspicions.forget(nowNanos - RETENTION_NANOS);
		if (expired.isEmpty()) {
			return;
		}
		this.suspected.keySet().removeAll(expired);
		this.cleared.keySet().removeAll(expired);
		this.unreportedClearances
			.removeIf((fingerprint) -> this.cleared.values().stream().noneMatch((set) -> set.contains(fingerprint)));
		// Empty reports are kept, so that the same one does not count as news when the
		// store is listed again.
		this.others.replaceAll((process, report) -> CrashReports.without(report, expired));
		rebuild();
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
		return this.suspicions.quarantines();
	}

	/**
	 * Returns whether this entry has learned of a crash a short time ago, so that more
	 * may follow.
	 * @param nowNanos the current monotonic time, in nanoseconds
	 * @return whether the last crash is recent
	 */
	public boolean crashedRecently(long nowNanos) {
		return suspicious() && nowNanos - this.suspicions.lastCrashNanos() < RECENT_CRASH_NANOS;
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
