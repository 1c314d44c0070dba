package io.bulrushrouter.coordination.configuration;

import java.util.Optional;

/**
 * Checks a configuration whole before it is adopted.
 */
@FunctionalInterface
public interface ConfigurationChecker {

	/**
	 * Returns what is wrong with a configuration.
	 * @param document the configuration
	 * @return the problem, or empty if the node can adopt it
	 */
	Optional<String> problem(ConfigurationMessage.Document document);

}
