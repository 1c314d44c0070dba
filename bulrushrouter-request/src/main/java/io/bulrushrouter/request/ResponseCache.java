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
 * Whole answers, the least recently used of which go first when their bytes reach a
 * limit.
 *
 * @param <K> what an answer is kept under
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
	 * A part of an answer.
	 *
	 * @param bytes the part
	 * @param tokens the generated tokens in it
	 */
	record Part(byte[] bytes, int tokens) {
	}

	/**
	 * A whole answer.
	 *
	 * @param digest the hash of its request
	 * @param head the engine's status
	 * @param parts the body
	 */
	record Response(long digest, SidecarEvent.EngineHead head, List<Part> parts) {

		private static final int PART_OVERHEAD_BYTES = 64;

		long bytes() {
			return this.parts.stream().mapToLong((part) -> part.bytes().length + PART_OVERHEAD_BYTES).sum();
		}

	}

	/**
	 * Equal reads have equal keys.
	 *
	 * @param organisation the caller's organisation
	 * @param model the model
	 * @param path the path
	 * @param stream whether the answer is a stream
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
