package io.bulrushrouter.daemon.node;

import java.util.ArrayList;
import java.util.List;

import net.logstash.logback.argument.StructuredArguments;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One line for each routing or placement decision, with stable keys.
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
	 * Returns a line without further keys.
	 * @param event what was decided, such as {@code route}
	 * @return the line
	 */
	public static DecisionLog of(String event) {
		return new DecisionLog().with("event", event);
	}

	/**
	 * Tells whether lines are written at all.
	 * @return whether the logger takes them
	 */
	public static boolean isEnabled() {
		return logger.isInfoEnabled();
	}

	/**
	 * Adds a key.
	 * @param key the key
	 * @param value its value
	 * @return this line
	 */
	public DecisionLog with(String key, Object value) {
		if (isEnabled()) {
			this.pairs.add(StructuredArguments.keyValue(key, String.valueOf(value)));
		}
		return this;
	}

	/**
	 * Writes the line.
	 */
	public void write() {
		logger.info("{} ".repeat(this.pairs.size()).strip(), this.pairs.toArray());
	}

}
