package io.bulrushrouter.gateway.node;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.bulrushrouter.gateway.quarantine.CrashEvidence;
import io.bulrushrouter.gateway.quarantine.CrashReport;
import io.bulrushrouter.gateway.source.CrashReportStore;
import io.bulrushrouter.gateway.source.FeedCounters;
import io.bulrushrouter.gateway.source.FeedFollower;
import io.bulrushrouter.gateway.source.FeedResult.Item;
import io.bulrushrouter.gateway.source.JitteredBackoff;
import io.bulrushrouter.kernel.TimeSource;

/**
 * Writes this entry's crash reports to the store and reads those of the others. Runs on
 * one thread.
 */
public final class CrashReporter implements AutoCloseable {

	private static final Logger logger = LoggerFactory.getLogger(CrashReporter.class);

	/**
	 * Delay of a report on a first crash. Most requests that were running there succeed
	 * elsewhere within this time and need not be reported.
	 */
	private static final long SETTLE_MILLIS = 1_000;

	/** Backoff after failed writes. */
	private static final JitteredBackoff BACKOFF = new JitteredBackoff(200, 2_000);

	/**
	 * Timeout of a watch while no upstreams crash. A connection that is lost without
	 * being closed is noticed this late, and each watch is a call to the store.
	 */
	private static final Duration QUIET_WATCH_TIMEOUT = Duration.ofSeconds(10);

	/** The same while crashes follow each other. */
	private static final Duration WATCH_TIMEOUT = Duration.ofMillis(1_500);

	/**
	 * Minimum time from one watch to the next, within which the reports of several
	 * entries on one crash arrive together.
	 */
	private static final Duration MIN_WATCH_INTERVAL = Duration.ofMillis(500);

	private final ScheduledExecutorService loop;

	private final TimeSource clock;

	private final String instance;

	private final CrashReportStore store;

	private final CrashEvidence evidence;

	private final FeedFollower<CrashReport> follower;

	private final RandomGenerator random;

	private boolean writing;

	private int failures;

	private boolean scheduled;

	private boolean closed;

	/**
	 * Creates a reporter.
	 * @param loop the thread on which it and the stages of the store run
	 * @param clock the monotonic clock
	 * @param random spreads retries
	 * @param instance the name of this entry
	 * @param store the store
	 * @param evidence what this entry knows of crashes
	 * @param counters counts what the follower of the reports meets
	 */
	public CrashReporter(ScheduledExecutorService loop, TimeSource clock, RandomGenerator random, String instance,
			CrashReportStore store, CrashEvidence evidence, FeedCounters counters) {
		this.loop = loop;
		this.clock = clock;
		this.random = random;
		this.instance = instance;
		this.store = store;
		this.evidence = evidence;
		this.follower = FeedFollower.builder("crash-reports", store.reports(), new ReportListener())
			.watchTimeout(() -> evidence.crashedRecently(clock.nanos()) ? WATCH_TIMEOUT : QUIET_WATCH_TIMEOUT)
			.minWatchInterval(MIN_WATCH_INTERVAL)
			.loop(loop)
			.clock(clock)
			.random(random)
			.counters(counters)
			.build();
		evidence.onChange(this::evidenceChanged);
	}

	/**
	 * Starts reading reports.
	 */
	public void start() {
		this.follower.start();
	}

	private void evidenceChanged() {
		if (this.evidence.urgent()) {
			writeDueReport();
		}
		else if (!this.scheduled) {
			this.scheduled = true;
			this.loop.schedule(() -> {
				this.scheduled = false;
				writeDueReport();
			}, SETTLE_MILLIS, TimeUnit.MILLISECONDS);
		}
	}

	// One write at a time, so that an older report does not replace a newer one.
	private void writeDueReport() {
		if (this.writing || this.closed || !this.evidence.reportDue()) {
			return;
		}
		this.writing = true;
		CrashReport report = this.evidence.nextReport();
		CompletableFuture.completedStage(null)
			.thenCompose((start) -> this.store.write(this.instance, report))
			.exceptionally((error) -> {
				logger.error("event=crash-report-failed sequence={} detail=\"{}\"", report.sequence(), error.toString(),
						error);
				return false;
			})
			.thenAccept((accepted) -> written(report, accepted));
	}

	private void written(CrashReport report, boolean accepted) {
		logger.info("event=crash-report sequence={} suspected-crashes={} cleared-crashes={} accepted={}",
				report.sequence(), report.suspected().size(), report.cleared().size(), accepted);
		if (accepted) {
			this.failures = 0;
			this.writing = false;
			writeDueReport();
		}
		else {
			this.loop.schedule(this::retry, BACKOFF.delayMillis(this.failures++, this.random), TimeUnit.MILLISECONDS);
		}
	}

	private void retry() {
		this.writing = false;
		this.evidence.reportLost();
	}

	@Override
	public void close() {
		this.closed = true;
		this.follower.close();
	}

	/**
	 * Merges the reports of the other entries.
	 */
	private final class ReportListener implements FeedFollower.Listener<CrashReport> {

		@Override
		public void changed(List<Item<CrashReport>> changes, long requestedNanos) {
			Map<String, CrashReport> reports = new HashMap<>();
			changes.forEach((item) -> item.value().ifPresent((report) -> reports.put(item.name(), report)));
			CrashReporter.this.evidence.merge(reports, CrashReporter.this.clock.nanos());
		}

		// The copy may lack this entry's last report.
		@Override
		public void restored() {
			if (CrashReporter.this.evidence.hasReported()) {
				CrashReporter.this.evidence.reportLost();
			}
		}

		@Override
		public void unavailable() {
			// What is known stays in force.
		}

	}

}
