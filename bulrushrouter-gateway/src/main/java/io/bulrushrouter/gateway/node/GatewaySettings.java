package io.bulrushrouter.gateway.node;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Map;
import java.util.Set;

import io.bulrushrouter.gateway.forward.ForwardSettings;
import io.bulrushrouter.kernel.settings.Settings;

/**
 * The settings of a gateway entry.
 *
 * @param instance the instance's name, for logs
 * @param dataCentre the data centre that it is in
 * @param callers where callers connect
 * @param readiness where the readiness check connects
 * @param metrics where metrics are read
 * @param source the name of the plug-in that knows the fleet
 * @param store the store's address
 * @param forward the limits of a request's way
 * @param grace the time from the signal to stop until the process is killed
 * @param maxConnections callers' connections at once
 */
public record GatewaySettings(String instance, String dataCentre, InetSocketAddress callers,
		InetSocketAddress readiness, InetSocketAddress metrics, String source, InetSocketAddress store,
		ForwardSettings forward, Duration grace, int maxConnections) {

	private static final Map<String, Set<String>> KNOWN_SETTINGS = Map.of("instance",
			Set.of("name", "data-centre", "memory-mb", "descriptors"), "listen",
			Set.of("callers", "readiness", "metrics"), "source", Set.of("kind", "store"), "retry",
			Set.of("ratio", "spare", "window"), "keys", Set.of("freshness", "fail-closed"), "configuration",
			Set.of("apply"), "stop", Set.of("grace"));

	/**
	 * The entries that the spare part of the retry budget is divided by. Entries do not
	 * count each other; today there are 4 to 5 and next 15.
	 */
	private static final int RETRY_BUDGET_ENTRIES = 20;

	/** Part of the allowed retry ratio that is used; the rest covers uneven counting. */
	private static final double USED_RETRY_RATIO = 0.8;

	/** Kept before the time at which a revoked key must be refused. */
	private static final Duration KEY_REVOCATION_MARGIN = Duration.ofMillis(700);

	/**
	 * Age of a proof beyond the time in which a configuration must be in force: the age
	 * counts from the start of a watch, which answers as soon as there is a change.
	 */
	private static final Duration WATCH_SLACK = Duration.ofMillis(1_500);

	/** Part of an instance's descriptors for callers; the rest is for upstreams. */
	private static final double CALLER_DESCRIPTOR_SHARE = 0.5;

	/** Part of an instance's memory for bodies that are held. */
	private static final double BUFFER_MEMORY_SHARE = 0.06;

	/**
	 * Reads the settings.
	 * @param settings the INI settings
	 * @return the settings
	 * @throws io.bulrushrouter.kernel.BulrushException with
	 * {@link io.bulrushrouter.kernel.ErrorCode#BAD_SETTINGS} that names the setting
	 */
	public static GatewaySettings of(Settings settings) {
		settings.requireKnown(KNOWN_SETTINGS);
		Duration revocation = settings.duration("keys", "freshness", Duration.ofSeconds(5));
		int memoryMegabytes = settings.integer("instance", "memory-mb", 32, 1 << 20);
		int descriptors = settings.integer("instance", "descriptors", 64, 1 << 24);
		ForwardSettings forward = new ForwardSettings(
				USED_RETRY_RATIO * settings.value("retry", "ratio", Double::parseDouble),
				settings.value("retry", "spare", Double::parseDouble) / RETRY_BUDGET_ENTRIES,
				settings.duration("retry", "window", Duration.ofSeconds(10)),
				settings.value("keys", "fail-closed", true, Boolean::parseBoolean)
						? revocation.minus(KEY_REVOCATION_MARGIN) : Duration.ofDays(365),
				settings.duration("configuration", "apply", Duration.ofSeconds(2)).plus(WATCH_SLACK),
				(long) (BUFFER_MEMORY_SHARE * memoryMegabytes * 1024 * 1024));
		return new GatewaySettings(settings.text("instance", "name"), settings.text("instance", "data-centre"),
				settings.address("listen", "callers"), settings.address("listen", "readiness"),
				settings.address("listen", "metrics"), settings.text("source", "kind"),
				settings.address("source", "store"), forward, settings.duration("stop", "grace", Duration.ofSeconds(8)),
				(int) (CALLER_DESCRIPTOR_SHARE * descriptors));
	}

}
