package io.bulrushrouter.request;

import java.util.Arrays;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import io.bulrushrouter.kernel.ModelId;
import io.bulrushrouter.kernel.OrganisationId;

/**
 * Cache of complete responses with a limit on their total size; the least recently used
 * ones are evicted first.
 *
 * @param <K> the type of keys
 */
final class ResponseCache<K> {

	private final Map<K, Response> responses = new LinkedHashMap<>(16, 0.75F, true);

	private final long maxBytes;

	private long bytes;

	ResponseCache(long maxBytes) {
		this.maxBytes = maxBytes;
	}

	Optional<Response> find(K key) {
		return Optional.ofNullable(this.responses.get(key));
	}

	void clear() {
		this.responses.clear();
		this.bytes = 0;
	}

	void put(K key, Response response) {
		Response previous = this.responses.put(key, response);
		this.bytes += response.bytes() - ((previous != null) ? previous.bytes() : 0);
		Iterator<Response> oldest = this.responses.values().iterator();
		while (this.bytes > this.maxBytes && oldest.hasNext()) {
			this.bytes -= oldest.next().bytes();
			oldest.remove();
		}
	}

	/**
	 * A part of a response body.
	 *
	 * @param bytes the part
	 * @param tokens the number of generated tokens in the part
	 */
	record Part(byte[] bytes, int tokens) {
	}

	/**
	 * A complete response.
	 *
	 * @param digest the hash of the request
	 * @param head the head of the response
	 * @param parts the parts of the body
	 */
	record Response(long digest, SidecarEvent.EngineHead head, List<Part> parts) {

		private static final int PART_OVERHEAD_BYTES = 64;

		long bytes() {
			return this.parts.stream().mapToLong((part) -> part.bytes().length + PART_OVERHEAD_BYTES).sum();
		}

	}

	/**
	 * Cache key of a read; equal reads have equal keys.
	 *
	 * @param organisation the caller's organisation
	 * @param model the model
	 * @param path the HTTP method, path and query
	 * @param stream whether the response is a stream
	 * @param digest the hash of the request
	 * @param body the body
	 */
	record ReadKey(OrganisationId organisation, ModelId model, String path, boolean stream, long digest, byte[] body) {

		static ReadKey of(RequestSpec spec) {
			return new ReadKey(spec.organisation(), spec.model(), spec.method() + " " + spec.path(), spec.stream(),
					spec.digest(), spec.body());
		}

		@Override
		public boolean equals(Object other) {
			return other instanceof ReadKey key && this.digest == key.digest && this.stream == key.stream
					&& this.organisation.equals(key.organisation) && this.model.equals(key.model)
					&& this.path.equals(key.path) && Arrays.equals(this.body, key.body);
		}

		@Override
		public int hashCode() {
			return Long.hashCode(this.digest);
		}

	}

}
