package io.bulrushrouter.bench.path;

import java.io.PrintStream;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.LongAdder;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;

import io.bulrushrouter.bench.Experiment;
import io.bulrushrouter.daemon.demo.EntryClient;
import io.bulrushrouter.daemon.demo.Fleet;
import io.bulrushrouter.http.HttpResponseHead;
import io.bulrushrouter.http.HttpResponseListener;
import io.bulrushrouter.http.StreamingHttpClient;
import io.bulrushrouter.standin.EngineStandin;

/**
 * Compares the tokens per second through two entries and twelve sidecars with those of
 * the same streams directly from the engines. Callers and engines share the machine with
 * entries and sidecars.
 */
final class PathThroughput implements Experiment {

	private static final int STREAMS = 700;

	private static final int TOKENS_PER_STREAM = 2_000;

	private static final long WARM_UP_SECONDS = 5;

	private static final long MEASURED_SECONDS = 10;

	private static final long MIN_TOKENS_PER_SECOND = 450_000;

	@Override
	public boolean run(PrintStream out) {
		out.println("| path | tokens/s | processor time of entries and sidecars, ns a token |");
		out.println("| --- | --- | --- |");
		measure(out, "direct", true);
		return measure(out, "routed", false) >= MIN_TOKENS_PER_SECOND;
	}

	private static long measure(PrintStream out, String name, boolean direct) {
		EngineStandin.Profile profile = EngineStandin.Profile.ofDefaults().withStepAndBatch(Duration.ofMillis(1), 64);
		EventLoopGroup network = new NioEventLoopGroup(4);
		try (StreamingHttpClient http = StreamingHttpClient.of(network);
				Fleet fleet = Fleet.builder().profile(profile).start()) {
			if (!fleet.awaitReady()) {
				return 0;
			}
			LongAdder tokens = new LongAdder();
			AtomicBoolean running = new AtomicBoolean(true);
			AtomicInteger streamNumbers = new AtomicInteger();
			for (int i = 0; i < STREAMS; i++) {
				new Stream(fleet, http, direct, tokens, running, streamNumbers).startNext();
			}
			sleep(WARM_UP_SECONDS);
			long start = System.nanoTime();
			long tokensBefore = tokens.sum();
			ThreadUsage usageBefore = ThreadUsage.now();
			sleep(MEASURED_SECONDS);
			long measuredTokens = tokens.sum() - tokensBefore;
			long rate = measuredTokens * TimeUnit.SECONDS.toNanos(1) / (System.nanoTime() - start);
			running.set(false);
			out.printf("| %s | %d | %d |%n", name, rate,
					direct ? 0 : usageBefore.cpuNanosUntil(ThreadUsage.now()) / measuredTokens);
			return rate;
		}
		finally {
			network.shutdownGracefully(0, 1, TimeUnit.SECONDS);
		}
	}

	private static void sleep(long seconds) {
		try {
			TimeUnit.SECONDS.sleep(seconds);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private record Stream(Fleet fleet, StreamingHttpClient http, boolean direct, LongAdder tokens,
			AtomicBoolean running, AtomicInteger streamNumbers) implements HttpResponseListener {

		private void startNext() {
			if (!this.running.get()) {
				return;
			}
			int number = this.streamNumbers.getAndIncrement();
			int[] ports = this.direct ? this.fleet.engines().values().stream().mapToInt(EngineStandin::port).toArray()
					: this.fleet.entries().stream().mapToInt((entry) -> entry.callersPort()).toArray();
			EntryClient caller = new EntryClient(this.http, "http://127.0.0.1:" + ports[number % ports.length],
					Fleet.key(1 + number % 10));
			caller.stream("stream " + number, TOKENS_PER_STREAM, this);
		}

		@Override
		public void head(HttpResponseHead head) {
			if (head.status() != 200) {
				System.err.println("unexpected status " + head.status());
			}
		}

		@Override
		public void part(byte[] bytes) {
			int count = 0;
			for (int i = 1; i < bytes.length; i++) {
				count += (bytes[i] == '\n' && bytes[i - 1] == '\n') ? 1 : 0;
			}
			this.tokens.add(count);
		}

		@Override
		public void end() {
			startNext();
		}

		@Override
		public void failed(boolean mayHaveArrived, Throwable cause) {
			startNext();
		}

	}

}
