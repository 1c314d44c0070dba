package io.bulrushrouter.request;

import java.util.Optional;

/**
 * The complete responses that a sidecar caches: of reads, and of non-idempotent requests
 * by their idempotency key. Each kind gets half of the space.
 */
final class CachedResponses {

	private static final int HTTP_OK = 200;

	private final ResponseCache<ResponseCache.ReadKey> reads;

	private final ResponseCache<RunTable.ClaimKey> claimed;

	CachedResponses(long maxBytes) {
		this.reads = new ResponseCache<>(maxBytes / 2);
		this.claimed = new ResponseCache<>(maxBytes / 2);
	}

	Optional<ResponseCache.Response> findRead(RequestSpec spec) {
		return this.reads.find(ResponseCache.ReadKey.of(spec));
	}

	Optional<ResponseCache.Response> findByKey(RunTable.ClaimKey key) {
		return this.claimed.find(key);
	}

	void clearReads() {
		this.reads.clear();
	}

	void put(EngineRun run) {
		run.response().ifPresent((response) -> put(run, response));
	}

	private void put(EngineRun run, ResponseCache.Response response) {
		if (!run.spec().idempotent()) {
			this.claimed.put(RunTable.ClaimKey.of(run.id(), run.spec()), response);
		}
		else if (RunTable.isCacheableRead(run.spec()) && response.head().status() == HTTP_OK && !run.cancelled()) {
			this.reads.put(ResponseCache.ReadKey.of(run.spec()), response);
		}
	}

}
