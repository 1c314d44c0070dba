package io.bulrushrouter.daemon.node;

import java.util.ArrayList;
import java.util.List;

import net.logstash.logback.argument.StructuredArguments;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Builds and writes one log line per routing or placement decision, with stable keys.
 *
 * <pre>{@code
 * DecisionLog.of("route").with("request", id).with("upstream", upstream).write();
 * }</pre>
 */
public final class DecisionLog {

	private static final Logger logger = LoggerFactory.getLogger("decision");

	private final List<Object> pairs = new ArrayList<>();

	private DecisionLog() {
	}

	/**
	 * Creates a line that has only the event.
	 * @param event the kind of decision, such as {@code route}
	 * @return the line
	 */
	public static DecisionLog of(String event) {
		return new DecisionLog().with("event", event);
	}

	/**
	 * Returns whether decision lines are written.
	 * @return whether the decision logger is enabled
	 */
	public static boolean isEnabled() {
		return logger.isInfoEnabled();
	}

	/**
	 * Adds a key and its value.
	 * @param key the key
	 * @param value the value, written as a string
	 * @return this line
	 */
	public DecisionLog with(String key, Object value) {
		if (isEnabled()) {
			this.pairs.add(StructuredArguments.keyValue(key, String.valueOf(value)));
		}
		return this;
	}

	/**
	 * Writes the line to the decision log.
	 */
	public void write() {
		logger.info("{} ".repeat(this.pairs.size()).strip(), this.pairs.toArray());
	}

}
