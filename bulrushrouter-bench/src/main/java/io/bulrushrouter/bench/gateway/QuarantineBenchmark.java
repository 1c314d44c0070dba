package io.bulrushrouter.bench.gateway;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

import io.bulrushrouter.gateway.quarantine.CrashEvidence;
import io.bulrushrouter.gateway.quarantine.CrashId;
import io.bulrushrouter.gateway.quarantine.CrashReport;
import io.bulrushrouter.gateway.quarantine.Fingerprint;

/**
 * Cost of the quarantine: of a request whose prompt has 20 shared parts, and of the
 * report on a crash while many entries have reported others.
 */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
@Fork(1)
public class QuarantineBenchmark {

	private static final int PARTS = 20;

	private static final int CRASHES_PER_ENTRY = 8;

	/** Number of entries that have reported crashes. */
	@Param({ "0", "18", "400" })
	private int entries;

	private CrashEvidence evidence;

	private String header;

	private List<Fingerprint> request;

	private CrashReport report;

	private long sequence;

	/** Creates the evidence. */
	@Setup
	public void createEvidence() {
		this.evidence = new CrashEvidence("self", 1, (key) -> 0);
		Map<String, CrashReport> reports = new HashMap<>();
		for (int entry = 0; entry < this.entries; entry++) {
			reports.put("entry-" + entry, reportOf(entry));
		}
		this.evidence.merge(reports, 1);
		this.header = IntStream.rangeClosed(0, PARTS)
			.mapToObj((part) -> Integer.toHexString(0x5c1e0000 + part) + ":100")
			.collect(Collectors.joining(","));
		this.request = Fingerprint.ofSharedParts(this.header);
		this.report = reportOf(1_000);
	}

	private static CrashReport reportOf(int entry) {
		CrashEvidence other = new CrashEvidence("entry-" + entry, entry, (key) -> 0);
		for (int crash = 0; crash < CRASHES_PER_ENTRY; crash++) {
			List<Fingerprint> running = new ArrayList<>();
			for (int part = 0; part < PARTS; part++) {
				running.add(Fingerprint.ofPart("p" + entry + "-" + part));
			}
			other.crashed(new CrashId("up-" + (entry + crash) % 600, crash), running, 1);
		}
		return other.nextReport();
	}

	/**
	 * Reads the parts of a prompt.
	 * @return the fingerprints
	 */
	@Benchmark
	public List<Fingerprint> readParts() {
		return Fingerprint.ofSharedParts(this.header);
	}

	/**
	 * Asks whether a request may be sent.
	 * @return whether it is in quarantine
	 */
	@Benchmark
	public boolean askBeforeSending() {
		return this.evidence.quarantine(this.request, 2).isPresent();
	}

	/**
	 * Records a response.
	 */
	@Benchmark
	public void recordSuccess() {
		this.evidence.succeeded(this.request, 2);
	}

	/**
	 * Merges a report, with a log line for each part that it puts in quarantine.
	 */
	@Benchmark
	public void mergeReport() {
		this.evidence.merge(
				Map.of("other", new CrashReport(1, ++this.sequence, this.report.suspected(), this.report.cleared())),
				2);
	}

}
