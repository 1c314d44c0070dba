package io.bulrushrouter.request;

import java.util.Objects;
import java.util.Optional;

import io.bulrushrouter.kernel.BulrushException;
import io.bulrushrouter.kernel.ErrorCode;
import io.bulrushrouter.kernel.ModelId;
import io.bulrushrouter.kernel.OrganisationId;
import io.bulrushrouter.kernel.Priority;

/**
 * A caller's request, identical in each of its attempts.
 *
 * @param organisation the caller's organisation
 * @param model the model or plain service
 * @param kind the kind of request
 * @param method the HTTP method
 * @param path the HTTP path and query at the upstream
 * @param body the HTTP body, forwarded unchanged
 * @param priority the priority
 * @param idempotent whether the request may run more than once
 * @param idempotencyKey the caller's idempotency key, if there is one
 * @param stream whether the response is a stream of server-sent events
 * @param digest a hash of organisation, model, path and body, also the engine's seed
 * @param prefixDigest a hash of the prompt's leading part, for the engines' prefix caches
 * @param promptTokens an estimate of the prompt's length, in tokens
 */
public record RequestSpec(OrganisationId organisation, ModelId model, CallKind kind, String method, String path,
		byte[] body, Priority priority, boolean idempotent, Optional<String> idempotencyKey, boolean stream,
		long digest, long prefixDigest, int promptTokens) {

	/**
	 * Maximum length of the prompt prefix that prefix caches are matched by, in tokens.
	 */
	public static final int MAX_PREFIX_TOKENS = 1_024;

	/**
	 * Validates the components.
	 */
	public RequestSpec {
		Objects.requireNonNull(organisation);
		Objects.requireNonNull(model);
		Objects.requireNonNull(kind);
		Objects.requireNonNull(method);
		Objects.requireNonNull(path);
		Objects.requireNonNull(body);
		Objects.requireNonNull(priority);
		Objects.requireNonNull(idempotencyKey);
	}

	/**
	 * Returns the estimated length of the prompt prefix that {@link #prefixDigest} is a
	 * hash of.
	 * @return the length, in tokens
	 */
	public int prefixTokens() {
		return Math.min(this.promptTokens, MAX_PREFIX_TOKENS);
	}

	/**
	 * Returns a builder.
	 * @return the builder
	 */
	public static Builder builder() {
		return new Builder();
	}

	/**
	 * Builds a {@link RequestSpec}. Organisation and model are required.
	 */
	public static final class Builder {

		private OrganisationId organisation;

		private ModelId model;

		private CallKind kind = CallKind.COMPLETION;

		private String method = "POST";

		private String path = "/v1/completions";

		private byte[] body = new byte[0];

		private Priority priority = Priority.NORMAL;

		private boolean idempotent = true;

		private Optional<String> idempotencyKey = Optional.empty();

		private boolean stream;

		private long digest;

		private long prefixDigest;

		private int promptTokens;

		private Builder() {
		}

		/**
		 * Sets the caller's organisation.
		 * @param organisation the caller's organisation
		 * @return this builder
		 */
		public Builder organisation(OrganisationId organisation) {
			this.organisation = organisation;
			return this;
		}

		/**
		 * Sets the model or plain service.
		 * @param model the model or plain service
		 * @return this builder
		 */
		public Builder model(ModelId model) {
			this.model = model;
			return this;
		}

		/**
		 * Sets the kind of request.
		 * @param kind the kind of request
		 * @return this builder
		 */
		public Builder kind(CallKind kind) {
			this.kind = kind;
			return this;
		}

		/**
		 * Sets the HTTP method.
		 * @param method the HTTP method
		 * @return this builder
		 */
		public Builder method(String method) {
			this.method = method;
			return this;
		}

		/**
		 * Sets the HTTP path and query at the upstream.
		 * @param path the HTTP path and query at the upstream
		 * @return this builder
		 */
		public Builder path(String path) {
			this.path = path;
			return this;
		}

		/**
		 * Sets the HTTP body.
		 * @param body the HTTP body
		 * @return this builder
		 */
		public Builder body(byte[] body) {
			this.body = body;
			return this;
		}

		/**
		 * Sets the priority.
		 * @param priority the priority
		 * @return this builder
		 */
		public Builder priority(Priority priority) {
			this.priority = priority;
			return this;
		}

		/**
		 * Sets whether the request may run more than once.
		 * @param idempotent whether the request may run more than once
		 * @return this builder
		 */
		public Builder idempotent(boolean idempotent) {
			this.idempotent = idempotent;
			return this;
		}

		/**
		 * Sets the caller's idempotency key.
		 * @param idempotencyKey the key, or empty for none
		 * @return this builder
		 */
		public Builder idempotencyKey(Optional<String> idempotencyKey) {
			this.idempotencyKey = idempotencyKey;
			return this;
		}

		/**
		 * Sets whether the response is a stream of server-sent events.
		 * @param stream whether the response is a stream
		 * @return this builder
		 */
		public Builder stream(boolean stream) {
			this.stream = stream;
			return this;
		}

		/**
		 * Sets the hash of the whole request.
		 * @param digest the hash of the whole request
		 * @return this builder
		 */
		public Builder digest(long digest) {
			this.digest = digest;
			return this;
		}

		/**
		 * Sets the hash of the prompt's leading part.
		 * @param prefixDigest the hash of the prompt's leading part
		 * @return this builder
		 */
		public Builder prefixDigest(long prefixDigest) {
			this.prefixDigest = prefixDigest;
			return this;
		}

		/**
		 * Sets the prompt's estimated length in tokens.
		 * @param promptTokens the prompt's estimated length in tokens
		 * @return this builder
		 */
		public Builder promptTokens(int promptTokens) {
			this.promptTokens = promptTokens;
			return this;
		}

		/**
		 * Builds the request.
		 * @return the request
		 * @throws BulrushException with {@link ErrorCode#BAD_REQUEST} if organisation or
		 * model is missing
		 */
		public RequestSpec build() {
			if (this.organisation == null || this.model == null) {
				throw new BulrushException(ErrorCode.BAD_REQUEST, "organisation and model are required");
			}
			return new RequestSpec(this.organisation, this.model, this.kind, this.method, this.path, this.body,
					this.priority, this.idempotent, this.idempotencyKey, this.stream, this.digest, this.prefixDigest,
					this.promptTokens);
		}

	}

}
