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
 * Carries out the {@link RelayWatch} of each scope at a store. All methods are called
 * from one thread, and the executor runs the answers on the same one.
 */
public final class RelayDriver {

	private final List<Scope> scopes;

	private final ConfigurationNode node;

	private final ObjectStore store;

	private final TimeSource time;

	private final Executor thread;

	private final Consumer<RelayWatch.Stored> stored;

	private RelayDriver(Builder builder) {
		this.scopes = builder.scopes.stream().map((scope) -> new Scope(scope, RelayWatch.of(scope))).toList();
		this.node = builder.node;
		this.store = builder.store;
		this.time = builder.time;
		this.thread = builder.thread;
		this.stored = builder.stored;
	}

	/**
	 * Returns a builder.
	 * @param node the node that the configurations are for
	 * @param scopes the node's scopes
	 * @param store the store
	 * @return the builder
	 */
	public static Builder builder(ConfigurationNode node, Collection<String> scopes, ObjectStore store) {
		return new Builder(node, scopes, store);
	}

	/**
	 * Asks the store for what is due. Called several times a second.
	 * @param relay whether the node is a relay
	 */
	public void tick(boolean relay) {
		this.scopes.forEach((scope) -> scope.watch()
			.next(relay, this.time.nanos())
			.ifPresent((ask) -> ask(scope, ask).thenAcceptAsync(
					(result) -> scope.watch().answered(result, this.time.nanos()).ifPresent(this.stored),
					this.thread)));
	}

	private CompletionStage<ReadResult> ask(Scope scope, RelayWatch.Ask ask) {
		ObjectKey key = RelayWatch.keyOf(scope.name());
		return (ask == RelayWatch.Ask.READ) ? this.store.read(key)
				: this.store.watch(key, this.node.newsAbove(scope.name()), RelayWatch.WAIT);
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

		private Executor thread = Runnable::run;

		private Consumer<RelayWatch.Stored> stored = (any) -> {
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
		 * Sets what runs the answers.
		 * @param thread runs them on the caller's thread, such as a duty's ring; it must
		 * drop none, since a missing answer ends all further watches
		 * @return this builder
		 */
		public Builder thread(Executor thread) {
			this.thread = thread;
			return this;
		}

		/**
		 * Sets what takes the platform's answers.
		 * @param stored hands them to {@link ConfigurationNode#onStored}
		 * @return this builder
		 */
		public Builder stored(Consumer<RelayWatch.Stored> stored) {
			this.stored = stored;
			return this;
		}

		/**
		 * Returns the driver.
		 * @return the driver
		 */
		public RelayDriver build() {
			return new RelayDriver(this);
		}

	}

}
