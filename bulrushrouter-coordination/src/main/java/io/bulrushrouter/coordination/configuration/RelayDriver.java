package io.bulrushrouter.coordination.configuration;

import java.util.Collection;
import java.util.List;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Executor;
import java.util.function.Consumer;

import io.bulrushrouter.kernel.TimeSource;
import io.bulrushrouter.kernel.store.ObjectKey;
import io.bulrushrouter.kernel.store.ObjectStore;
import io.bulrushrouter.kernel.store.ReadResult;

/**
 * Executes the {@link RelayWatch} of each scope against an object store. All methods must
 * be called from one thread, and the executor must run the result handlers on the same
 * thread.
 */
public final class RelayDriver {

	private final List<Scope> scopes;

	private final ConfigurationNode node;

	private final ObjectStore store;

	private final TimeSource time;

	private final Executor executor;

	private final Consumer<RelayWatch.StoredConfiguration> listener;

	private RelayDriver(Builder builder) {
		this.scopes = builder.scopes.stream().map((scope) -> new Scope(scope, RelayWatch.of(scope))).toList();
		this.node = builder.node;
		this.store = builder.store;
		this.time = builder.time;
		this.executor = builder.executor;
		this.listener = builder.listener;
	}

	/**
	 * Returns a builder.
	 * @param node the node that receives the configurations
	 * @param scopes the node's scopes
	 * @param store the store
	 * @return the builder
	 */
	public static Builder builder(ConfigurationNode node, Collection<String> scopes, ObjectStore store) {
		return new Builder(node, scopes, store);
	}

	/**
	 * Sends the requests that are due to the store. Call it several times per second.
	 * @param relay whether the node is a relay
	 */
	public void tick(boolean relay) {
		this.scopes.forEach((scope) -> scope.watch()
			.next(relay, this.time.nanos())
			.ifPresent((kind) -> send(scope, kind).thenAcceptAsync(
					(result) -> scope.watch().answered(result, this.time.nanos()).ifPresent(this.listener),
					this.executor)));
	}

	private CompletionStage<ReadResult> send(Scope scope, RelayWatch.RequestKind kind) {
		ObjectKey key = RelayWatch.keyOf(scope.name());
		return (kind == RelayWatch.RequestKind.READ) ? this.store.read(key)
				: this.store.watch(key, this.node.highestHandledVersion(scope.name()), RelayWatch.WATCH_TIMEOUT);
	}

	private record Scope(String name, RelayWatch watch) {
	}

	/**
	 * Builds a {@link RelayDriver}.
	 */
	public static final class Builder {

		private final ConfigurationNode node;

		private final Collection<String> scopes;

		private final ObjectStore store;

		private TimeSource time = TimeSource.ofSystem();

		private Executor executor = Runnable::run;

		private Consumer<RelayWatch.StoredConfiguration> listener = (any) -> {
		};

		private Builder(ConfigurationNode node, Collection<String> scopes, ObjectStore store) {
			this.node = node;
			this.scopes = scopes;
			this.store = store;
		}

		/**
		 * Sets the clock.
		 * @param time the clock
		 * @return this builder
		 */
		public Builder time(TimeSource time) {
			this.time = time;
			return this;
		}

		/**
		 * Sets the executor of the result handlers.
		 * @param executor runs them on the caller's thread, for example a duty's message
		 * queue; it must not drop any, since a scope sends no further request until the
		 * pending result arrives
		 * @return this builder
		 */
		public Builder executor(Executor executor) {
			this.executor = executor;
			return this;
		}

		/**
		 * Sets the listener for the configurations read from the platform.
		 * @param listener passes them to {@link ConfigurationNode#onStored}
		 * @return this builder
		 */
		public Builder listener(Consumer<RelayWatch.StoredConfiguration> listener) {
			this.listener = listener;
			return this;
		}

		/**
		 * Creates the driver.
		 * @return the driver
		 */
		public RelayDriver build() {
			return new RelayDriver(this);
		}

	}

}
