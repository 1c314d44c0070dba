package io.bulrushrouter.bench.request;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.random.RandomGenerator;

import org.HdrHistogram.Histogram;

import io.bulrushrouter.kernel.store.ListResult;
import io.bulrushrouter.kernel.store.ObjectKey;
import io.bulrushrouter.kernel.store.ObjectStore;
import io.bulrushrouter.kernel.store.ReadResult;
import io.bulrushrouter.kernel.store.Write;
import io.bulrushrouter.kernel.store.WriteResult;
import io.bulrushrouter.standin.MemoryObjectStore;

/**
 * An in-memory object store with simulated latency that counts calls, bytes written and
 * the latency of claims.
 */
final class CountingStore implements ObjectStore {

	private static final double MEAN_LATENCY_MILLIS = 4;

	private final MemoryObjectStore objects = new MemoryObjectStore();

	private final Histogram latencyMicros = new Histogram(3);

	private final EventLoop loop;

	private final RandomGenerator random;

	private long bytesWritten;

	private long refused;

	CountingStore(EventLoop loop, RandomGenerator random) {
		this.loop = loop;
		this.random = random;
	}

	void recordClaim(long nanos, boolean wasRefused) {
		this.latencyMicros.recordValue(nanos / 1000);
		this.refused += wasRefused ? 1 : 0;
	}

	long writes() {
		return this.objects.writes();
	}

	long reads() {
		return this.objects.reads();
	}

	long bytesWritten() {
		return this.bytesWritten;
	}

	long refused() {
		return this.refused;
	}

	double latencyMillis(double percentile) {
		return this.latencyMicros.getValueAtPercentile(percentile) / 1000.0;
	}

	@Override
	public CompletionStage<ReadResult> read(ObjectKey key) {
		CompletableFuture<ReadResult> response = new CompletableFuture<>();
		this.loop.after(halfRoundTripMillis(), () -> {
			ReadResult result = this.objects.read(key).toCompletableFuture().join();
			this.loop.after(halfRoundTripMillis(), () -> response.complete(result));
		});
		return response;
	}

	@Override
	public CompletionStage<WriteResult> write(Write write) {
		CompletableFuture<WriteResult> response = new CompletableFuture<>();
		this.bytesWritten += write.value().length;
		this.loop.after(halfRoundTripMillis(), () -> {
			WriteResult result = this.objects.write(write).toCompletableFuture().join();
			this.loop.after(halfRoundTripMillis(), () -> response.complete(result));
		});
		return response;
	}

	@Override
	public CompletionStage<ReadResult> watch(ObjectKey key, long afterVersion, Duration wait) {
		return this.objects.watch(key, afterVersion, wait);
	}

	@Override
	public CompletionStage<ListResult> list(String prefix) {
		return this.objects.list(prefix);
	}

	private double halfRoundTripMillis() {
		return MEAN_LATENCY_MILLIS / 4 + this.random.nextDouble() * MEAN_LATENCY_MILLIS / 2;
	}

}
