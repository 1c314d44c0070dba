package io.bulrushrouter.daemon.node;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.netty.channel.EventLoopGroup;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.bulrushrouter.daemon.config.Configuration;
import io.bulrushrouter.kernel.BulrushException;
import io.bulrushrouter.kernel.store.ObjectKey;
import io.bulrushrouter.kernel.store.ObjectStore;
import io.bulrushrouter.kernel.store.ReadResult;
import io.bulrushrouter.kernel.store.Versioned;
import io.bulrushrouter.kernel.store.Write;

/**
 * Follows the configuration in the platform and hands over each higher version, once it
 * is checked whole.
 */
public final class ConfigurationSource implements AutoCloseable {

	/** The object that holds the configuration. */
	public static final ObjectKey KEY = ObjectKey.of("configuration", "main");

	private static final Logger logger = LoggerFactory.getLogger(ConfigurationSource.class);

	private static final Duration WATCH = Duration.ofSeconds(30);

	private static final long RETRY_MILLIS = 500;

	private final ObjectStore store;

	private final EventLoopGroup timers;

	private final Consumer<InForce> consumer;

	private long version = Write.ABSENT;

	private volatile boolean closed;

	private ConfigurationSource(ObjectStore store, EventLoopGroup timers, Consumer<InForce> consumer) {
		this.store = store;
		this.timers = timers;
		this.consumer = consumer;
	}

	/**
	 * Starts to follow the configuration.
	 * @param store the platform
	 * @param timers runs the pauses between tries, which the caller owns
	 * @param consumer takes each version, on a network thread
	 * @return the source
	 */
	public static ConfigurationSource start(ObjectStore store, EventLoopGroup timers, Consumer<InForce> consumer) {
		ConfigurationSource source = new ConfigurationSource(store, timers, consumer);
		source.watch();
		return source;
	}

	private void watch() {
		if (!this.closed && !this.timers.isShuttingDown()) {
			this.store.watch(KEY, this.version, WATCH).thenAccept(this::take);
		}
	}

	private void take(ReadResult result) {
		if (result instanceof ReadResult.Found found && found.object().version() > this.version) {
			adopt(found.object());
			watch();
			return;
		}
		if (!this.closed && !this.timers.isShuttingDown()) {
			long pause = (result instanceof ReadResult.Unavailable) ? RETRY_MILLIS : 1;
			this.timers.schedule(this::watch, pause, TimeUnit.MILLISECONDS);
		}
	}

	private void adopt(Versioned object) {
		this.version = object.version();
		try {
			this.consumer.accept(new InForce(object.version(), Configuration.ofJson(object.value())));
		}
		catch (BulrushException ex) {
			logger.error("event=configuration-refused version={} reason=\"{}\"", object.version(), ex.getMessage());
		}
	}

	@Override
	public void close() {
		this.closed = true;
	}

	/**
	 * A version that is in force.
	 *
	 * @param version its number
	 * @param configuration what it says
	 */
	public record InForce(long version, Configuration configuration) {
	}

}
