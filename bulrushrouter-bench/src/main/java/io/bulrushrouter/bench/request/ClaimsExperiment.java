package io.bulrushrouter.bench.request;

import java.io.PrintStream;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;
import java.util.function.LongConsumer;

import io.bulrushrouter.bench.Experiment;
import io.bulrushrouter.kernel.OrganisationId;
import io.bulrushrouter.kernel.RequestId;
import io.bulrushrouter.kernel.store.ObjectKey;
import io.bulrushrouter.kernel.store.Write;
import io.bulrushrouter.kernel.store.WriteId;
import io.bulrushrouter.request.ClaimOutcome;
import io.bulrushrouter.request.ClaimRequest;
import io.bulrushrouter.request.Claims;
import io.bulrushrouter.request.ClaimsPolicy;

/**
 * Measures the store calls that claims of idempotency keys cause under three layouts: one
 * object per key, shards that any sidecar may write, and shards that are each written by
 * a single home sidecar.
 */
final class ClaimsExperiment implements Experiment {

	/** Maximum store writes per second for claims, at any load. */
	private static final double MAX_WRITES_PER_SECOND = 200;

	/** Claims per second at the target's peak, where every request carries a key. */
	private static final int PEAK_CLAIMS_PER_SECOND = 2_100;

	private static final int DURATION_SECONDS = 10;

	private static final int SIDECARS = 120;

	private static final long SEED = 1;

	@Override
	public boolean run(PrintStream out) {
		out.println("| claims/s | way | writes/s | reads/s | calls a claim | KB/s written | p95 ms | refused |");
		out.println("|---|---|---|---|---|---|---|---|");
		boolean withinBounds = true;
		for (int rate : List.of(10, 100, 400, PEAK_CLAIMS_PER_SECOND)) {
			printRow(out, rate, "object a key", runObjectPerKey(rate));
			if (rate < PEAK_CLAIMS_PER_SECOND) {
				printRow(out, rate, "shards, any sidecar", runShards(rate, SIDECARS));
			}
			CountingStore home = printRow(out, rate, "shards, home sidecar", runShards(rate, 1));
			withinBounds &= home.writes() <= MAX_WRITES_PER_SECOND * DURATION_SECONDS && home.refused() == 0;
		}
		out.println();
		out.println("Bound " + (withinBounds ? "holds" : "is missed") + ": " + MAX_WRITES_PER_SECOND
				+ " writes a second at a home, none refused.");
		return withinBounds;
	}

	private static CountingStore printRow(PrintStream out, int rate, String layout, CountingStore store) {
		double claims = (double) rate * DURATION_SECONDS;
		out.println(String.format(Locale.ROOT, "| %d | %s | %.0f | %.0f | %.2f | %.0f | %.0f | %.3f |", rate, layout,
				(double) store.writes() / DURATION_SECONDS, (double) store.reads() / DURATION_SECONDS,
				(store.writes() + store.reads()) / claims, store.bytesWritten() / 1000.0 / DURATION_SECONDS,
				store.latencyMillis(95), store.refused() / claims));
		return store;
	}

	private static CountingStore runObjectPerKey(int rate) {
		EventLoop loop = new EventLoop();
		CountingStore store = new CountingStore(loop, new SplittableRandom(SEED));
		byte[] value = new byte[64];
		scheduleArrivals(loop, rate, (number) -> {
			long startNanos = loop.nowNanos();
			ObjectKey key = ObjectKey.of("claim", Long.toString(number));
			store.write(Write.ofCreate(key, value, new WriteId(key.value())))
				.thenAccept((result) -> store.recordClaim(loop.nowNanos() - startNanos, false));
		});
		loop.runUntil((DURATION_SECONDS + 5) * 1000 * EventLoop.NANOS_PER_MILLI);
		return store;
	}

	private static CountingStore runShards(int rate, int writers) {
		EventLoop loop = new EventLoop();
		CountingStore store = new CountingStore(loop, new SplittableRandom(SEED));
		List<Claims> claims = new ArrayList<>();
		for (int i = 0; i < writers; i++) {
			claims.add(Claims.builder(store, i)
				.policy(ClaimsPolicy.ofDefaults())
				.clock(loop::nowNanos)
				.epochSeconds(() -> 1_000_000 + Duration.ofNanos(loop.nowNanos()).toSeconds())
				.build());
		}
		scheduleArrivals(loop, rate, (number) -> {
			long startNanos = loop.nowNanos();
			ClaimRequest request = new ClaimRequest(new RequestId(1, number).attempt(1), 1, OrganisationId.of("o"),
					"key-" + number, number);
			claims.get((int) (number * 31 % writers))
				.claim(request, (outcome) -> store.recordClaim(loop.nowNanos() - startNanos,
						!(outcome instanceof ClaimOutcome.Granted)));
		});
		tick(loop, claims);
		loop.runUntil((DURATION_SECONDS + 5) * 1000 * EventLoop.NANOS_PER_MILLI);
		return store;
	}

	private static void tick(EventLoop loop, List<Claims> claims) {
		claims.forEach(Claims::tick);
		loop.after(1, () -> tick(loop, claims));
	}

	private static void scheduleArrivals(EventLoop loop, int rate, LongConsumer arrival) {
		SplittableRandom random = new SplittableRandom(SEED);
		for (long i = 0; i < (long) rate * DURATION_SECONDS; i++) {
			long number = i;
			loop.at((long) (random.nextDouble() * DURATION_SECONDS * 1000 * EventLoop.NANOS_PER_MILLI),
					() -> arrival.accept(number));
		}
	}

}
