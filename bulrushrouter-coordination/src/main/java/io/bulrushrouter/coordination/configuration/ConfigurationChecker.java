package io.bulrushrouter.coordination.configuration;

import java.util.Optional;

/**
 * Validates a complete configuration before it is adopted.
 */
@FunctionalInterface
public interface ConfigurationChecker {

	/**
	 * Returns the reason why a configuration is invalid.
	 * @param document the configuration
	 * @return the reason, or empty if the node can adopt the configuration
	 */
	Optional<String> problem(ConfigurationMessage.Document document);

}
