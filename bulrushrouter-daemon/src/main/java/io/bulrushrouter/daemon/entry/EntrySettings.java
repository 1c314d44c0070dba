package io.bulrushrouter.daemon.entry;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Map;
import java.util.Set;

import io.bulrushrouter.daemon.node.ProcessSettings;
import io.bulrushrouter.kernel.settings.Settings;
import io.bulrushrouter.routing.RoutingPlugins;

/**
 * The settings of an entry.
 *
 * @param process the settings common to all daemons
 * @param peers the listen address for sidecars and other entries
 * @param callers the listen address for callers
 * @param operators the listen address for operators
 * @param maxBodyBytes the maximum size of a request body, in bytes
 * @param readTimeout the maximum time in which a request must be received
 * @param chooser the name of the plug-in that chooses upstreams
 * @param maxAttempts the maximum number of attempts per request
 * @param retryBurst the maximum burst of retries over all requests
 */
public record EntrySettings(ProcessSettings process, InetSocketAddress peers, InetSocketAddress callers,
		InetSocketAddress operators, int maxBodyBytes, Duration readTimeout, String chooser, int maxAttempts,
		int retryBurst) {

	private static final int DEFAULT_MAX_BODY_BYTES = 4 * 1024 * 1024;

	private static final int MAX_BODY_BYTES = 12 * 1024 * 1024;

	private static final Duration DEFAULT_READ_TIMEOUT = Duration.ofSeconds(10);

	private static final int DEFAULT_MAX_ATTEMPTS = 3;

	/** Sized for a fleet of a few entries that each carry many streams. */
	private static final int DEFAULT_RETRY_BURST = 32;

	private static final Map<String, Set<String>> KNOWN_KEYS = Map.of("process", ProcessSettings.PROCESS_KEYS,
			"platform", ProcessSettings.PLATFORM_KEYS, "callers", Set.of("listen", "max-body-bytes", "read-timeout"),
			"operators", Set.of("listen"), "peers", Set.of("listen"), "routing",
			Set.of("chooser", "max-attempts", "retry-burst"));

	/**
	 * Creates the settings of an entry from a settings file.
	 * @param settings the settings file
	 * @return the validated settings
	 */
	public static EntrySettings of(Settings settings) {
		settings.requireKnown(KNOWN_KEYS);
		return new EntrySettings(ProcessSettings.of(settings),
				settings.value("peers", "listen", ProcessSettings::socketAddress),
				settings.value("callers", "listen", ProcessSettings::socketAddress),
				settings.value("operators", "listen", ProcessSettings::socketAddress),
				settings.value("callers", "max-body-bytes", DEFAULT_MAX_BODY_BYTES, EntrySettings::parseBodyBytes),
				settings.duration("callers", "read-timeout", DEFAULT_READ_TIMEOUT),
				settings.find("routing", "chooser").orElse(RoutingPlugins.DEFAULT_CHOOSER),
				settings.value("routing", "max-attempts", DEFAULT_MAX_ATTEMPTS, Integer::parseInt),
				settings.value("routing", "retry-burst", DEFAULT_RETRY_BURST, Integer::parseInt));
	}

	private static int parseBodyBytes(String text) {
		int bytes = Integer.parseInt(text);
		if (bytes < 1 || bytes > MAX_BODY_BYTES) {
			throw new IllegalArgumentException("must be from 1 to " + MAX_BODY_BYTES);
		}
		return bytes;
	}

}
