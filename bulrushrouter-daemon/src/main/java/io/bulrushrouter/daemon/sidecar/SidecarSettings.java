package io.bulrushrouter.daemon.sidecar;

import java.net.InetSocketAddress;
import java.net.URI;
import java.time.Duration;
import java.util.Map;
import java.util.Set;

import io.bulrushrouter.daemon.node.ProcessSettings;
import io.bulrushrouter.kernel.UpstreamId;
import io.bulrushrouter.kernel.settings.Settings;

/**
 * The settings of a sidecar.
 *
 * @param process the settings common to all daemons
 * @param peers the listen address for entries and other sidecars
 * @param operators the listen address for metrics and health
 * @param upstream the upstream's name
 * @param url the upstream's address
 * @param concurrency the maximum number of requests that run on the upstream at once
 * @param service whether the upstream is a plain service
 * @param checksFence whether the upstream refuses orders with an outdated fencing token
 * @param drainWarningInterval the interval of warnings while a termination signal waits
 * for requests in flight; they are never interrupted
 */
public record SidecarSettings(ProcessSettings process, InetSocketAddress peers, InetSocketAddress operators,
		UpstreamId upstream, URI url, int concurrency, boolean service, boolean checksFence,
		Duration drainWarningInterval) {

	private static final int MAX_CONCURRENCY = 100_000;

	private static final Duration DEFAULT_DRAIN_WARNING_INTERVAL = Duration.ofMinutes(10);

	private static final Map<String, Set<String>> KNOWN_KEYS = Map.of("process", ProcessSettings.PROCESS_KEYS,
			"platform", ProcessSettings.PLATFORM_KEYS, "peers", Set.of("listen"), "operators", Set.of("listen"),
			"upstream", Set.of("name", "url", "concurrency", "kind", "checks-fence", "drain-warning"));

	/**
	 * Creates the settings of a sidecar from a settings file.
	 * @param settings the settings file
	 * @return the validated settings
	 */
	public static SidecarSettings of(Settings settings) {
		settings.requireKnown(KNOWN_KEYS);
		if (!settings.text("process", "name").equals(settings.text("upstream", "name"))) {
			throw settings.failure("process", "name", "must equal the upstream's name");
		}
		return new SidecarSettings(ProcessSettings.of(settings),
				settings.value("peers", "listen", ProcessSettings::socketAddress),
				settings.value("operators", "listen", ProcessSettings::socketAddress),
				settings.value("upstream", "name", UpstreamId::of),
				settings.value("upstream", "url", ProcessSettings::httpUrl),
				settings.integer("upstream", "concurrency", 1, MAX_CONCURRENCY),
				settings.value("upstream", "kind", false, SidecarSettings::isService),
				settings.value("upstream", "checks-fence", false, SidecarSettings::parseFlag),
				settings.duration("upstream", "drain-warning", DEFAULT_DRAIN_WARNING_INTERVAL));
	}

	private static boolean isService(String kind) {
		if (!Set.of("engine", "service").contains(kind)) {
			throw new IllegalArgumentException("must be engine or service");
		}
		return kind.equals("service");
	}

	private static boolean parseFlag(String text) {
		if (!Set.of("true", "false").contains(text)) {
			throw new IllegalArgumentException("must be true or false");
		}
		return text.equals("true");
	}

}
