package io.bulrushrouter.bench.path;

import java.io.PrintStream;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

import io.bulrushrouter.bench.Experiment;
import io.bulrushrouter.daemon.demo.EntryClient;
import io.bulrushrouter.daemon.demo.Fleet;
import io.bulrushrouter.http.StreamingHttpClient;
import io.bulrushrouter.standin.EngineStandin;

/**
 * Compares the time to first token through entry and sidecar with that of direct calls to
 * the same engines. Routed and direct requests alternate, at 500 requests per second on
 * each path.
 */
final class PathLatency implements Experiment {

	private static final int REQUESTS_PER_SECOND = 500;

	private static final int WARM_UP_REQUESTS = 3_000;

	private static final int REQUESTS = 10_000;

	private static final int TOKENS_PER_REQUEST = 4;

	private static final double MAX_ADDED_MEDIAN_MILLIS = 1;

	private static final double MAX_ADDED_P99_MILLIS = 3;

	private static final double MICROS_PER_MILLI = 1_000;

	@Override
	public boolean run(PrintStream out) {
		EngineStandin.Profile profile = EngineStandin.Profile.ofDefaults().withStepAndBatch(Duration.ofMillis(1), 64);
		EventLoopGroup network = new NioEventLoopGroup(2);
		try (StreamingHttpClient http = StreamingHttpClient.of(network);
				Fleet fleet = Fleet.builder().profile(profile).start()) {
			if (!fleet.awaitReady()) {
				return false;
			}
			measure(fleet, http, WARM_UP_REQUESTS, new ConcurrentHistogram(3), new ConcurrentHistogram(3));
			Histogram direct = new ConcurrentHistogram(3);
			Histogram routed = new ConcurrentHistogram(3);
			ThreadUsage before = ThreadUsage.now();
			long sentBefore = sentRequestBytes(fleet);
			measure(fleet, http, REQUESTS, direct, routed);
			print(out, direct, routed);
			out.printf("| allocated bytes per request, entry and sidecar | | | %d |%n",
					before.allocatedBytesUntil(ThreadUsage.now()) / REQUESTS);
			out.printf("| frame bytes per request, both ways | | | %d |%n",
					(sentRequestBytes(fleet) - sentBefore) / REQUESTS);
			return addedMillis(direct, routed, 50) < MAX_ADDED_MEDIAN_MILLIS
					&& addedMillis(direct, routed, 99) < MAX_ADDED_P99_MILLIS;
		}
		finally {
			network.shutdownGracefully(0, 1, TimeUnit.SECONDS);
		}
	}

	private static long sentRequestBytes(Fleet fleet) {
		long entries = fleet.entries().stream().mapToLong((entry) -> entry.sentCounters().requestBytes()).sum();
		return entries + fleet.sidecars()
			.values()
			.stream()
			.mapToLong((sidecar) -> sidecar.sentCounters().requestBytes())
			.sum();
	}

	private static void measure(Fleet fleet, StreamingHttpClient http, int requests, Histogram direct,
			Histogram routed) {
		CountDownLatch done = new CountDownLatch(2 * requests);
		long intervalNanos = TimeUnit.SECONDS.toNanos(1) / REQUESTS_PER_SECOND;
		int[] ports = fleet.engines().values().stream().mapToInt(EngineStandin::port).toArray();
		long start = System.nanoTime();
		for (int i = 0; i < requests; i++) {
			pauseUntil(start + i * intervalNanos);
			String engine = "http://127.0.0.1:" + ports[i % ports.length];
			String entry = "http://127.0.0.1:" + fleet.entries().get(i % 2).callersPort();
			send(new EntryClient(http, engine, ""), "direct " + requests + " " + i, direct, done);
			pauseUntil(start + i * intervalNanos + intervalNanos / 2);
			send(new EntryClient(http, entry, Fleet.key(1 + i % 10)), "routed " + requests + " " + i, routed, done);
		}
		await(done);
	}

	private static void send(EntryClient caller, String prompt, Histogram histogram, CountDownLatch done) {
		caller.stream(prompt, TOKENS_PER_REQUEST, new FirstTokenListener(histogram, done));
	}

	private static void pauseUntil(long nanos) {
		for (long left = nanos - System.nanoTime(); left > 0; left = nanos - System.nanoTime()) {
			LockSupport.parkNanos(left);
		}
	}

	private static void await(CountDownLatch done) {
		try {
			if (!done.await(60, TimeUnit.SECONDS)) {
				throw new IllegalStateException(done.getCount() + " responses missing after 60 s");
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private static double addedMillis(Histogram direct, Histogram routed, double percentile) {
		return (routed.getValueAtPercentile(percentile) - direct.getValueAtPercentile(percentile)) / MICROS_PER_MILLI;
	}

	private static void print(PrintStream out, Histogram direct, Histogram routed) {
		out.println("| time to first token (ms) | direct | routed | added |");
		out.println("| --- | --- | --- | --- |");
		for (double percentile : new double[] { 50, 95, 99 }) {
			out.printf("| percentile %.0f | %.2f | %.2f | %.2f |%n", percentile,
					direct.getValueAtPercentile(percentile) / MICROS_PER_MILLI,
					routed.getValueAtPercentile(percentile) / MICROS_PER_MILLI,
					addedMillis(direct, routed, percentile));
		}
	}

}
