package io.bulrushrouter.gateway.node;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import io.bulrushrouter.gateway.forward.ForwardSettings;
import io.bulrushrouter.kernel.settings.Settings;

/**
 * The settings of a gateway entry.
 *
 * @param instance the instance's name, for logs
 * @param dataCentre the data centre in which it runs
 * @param callers the address on which callers connect
 * @param readiness the address of the readiness check
 * @param metrics the address on which metrics are served
 * @param source the name of the plug-in that supplies configuration and upstreams
 * @param store the store's address
 * @param forward the limits of forwarding requests
 * @param grace the time from the termination signal until the process is killed
 * @param maxConnections the maximum number of concurrent connections of callers
 * @param evacuation the time within which no request may reach an evacuated data centre
 * any more, or empty where data centres are not evacuated
 */
public record GatewaySettings(String instance, String dataCentre, InetSocketAddress callers,
		InetSocketAddress readiness, InetSocketAddress metrics, String source, InetSocketAddress store,
		ForwardSettings forward, Duration grace, int maxConnections, Optional<Duration> evacuation) {

	private static final Map<String, Set<String>> KNOWN_SETTINGS = Map.of("instance",
			Set.of("name", "data-centre", "memory-mb", "descriptors"), "listen",
			Set.of("callers", "readiness", "metrics"), "source", Set.of("kind", "store"), "retry",
			Set.of("ratio", "spare", "window"), "keys", Set.of("freshness", "fail-closed"), "configuration",
			Set.of("apply"), "stop", Set.of("grace"), "evacuation", Set.of("within"));

	/**
	 * Share of the configured retry budget that is used. The rest is a margin for uneven
	 * counting and for entries that do not know of each other yet.
	 */
	private static final double USED_RETRY_BUDGET = 0.8;

	/** Margin before the time at which a revoked key must be refused. */
	private static final Duration KEY_REVOCATION_MARGIN = Duration.ofMillis(700);

	/**
	 * Added to the time within which a configuration must be applied to get the maximum
	 * age of a proof. The age counts from the start of a watch, although the watch
	 * returns as soon as there is a change.
	 */
	private static final Duration WATCH_SLACK = Duration.ofMillis(1_500);

	/**
	 * Share of the instance's file descriptors for callers; the rest is for upstreams and
	 * the entry's own.
	 */
	private static final double CALLER_DESCRIPTOR_SHARE = 0.5;

	/**
	 * Share of the descriptors for upstreams. What is left is for files, the store and
	 * the pages of the entry.
	 */
	private static final double UPSTREAM_DESCRIPTOR_SHARE = 0.4;

	/**
	 * Share of the instance's memory for request bodies, buffered responses and write
	 * queues. Socket buffers of the operating system take their part of the rest.
	 */
	private static final double BUFFER_MEMORY_SHARE = 0.06;

	/**
	 * Upper bound of that memory: a quarter of the process's heap of 96 MB. A body is
	 * held twice while it is copied.
	 */
	private static final long MAX_BUFFER_BYTES = 24L * 1024 * 1024;

	/**
	 * Parses the settings of an entry.
	 * @param settings the INI settings
	 * @return the parsed settings
	 * @throws io.bulrushrouter.kernel.BulrushException with
	 * {@link io.bulrushrouter.kernel.ErrorCode#BAD_SETTINGS} and the name of the setting
	 * if a setting is missing, unknown or invalid
	 */
	public static GatewaySettings of(Settings settings) {
		settings.requireKnown(KNOWN_SETTINGS);
		Duration revocation = settings.duration("keys", "freshness", Duration.ofSeconds(5));
		int memoryMegabytes = settings.integer("instance", "memory-mb", 32, 1 << 20);
		int descriptors = settings.integer("instance", "descriptors", 64, 1 << 24);
		ForwardSettings forward = new ForwardSettings(
				USED_RETRY_BUDGET * settings.value("retry", "ratio", GatewaySettings::bound),
				USED_RETRY_BUDGET * settings.value("retry", "spare", GatewaySettings::bound),
				settings.duration("retry", "window", Duration.ofSeconds(10)),
				settings.value("keys", "fail-closed", true, GatewaySettings::flag)
						? revocation.minus(KEY_REVOCATION_MARGIN) : Duration.ofDays(365),
				settings.duration("configuration", "apply", Duration.ofSeconds(2)).plus(WATCH_SLACK),
				Math.min(MAX_BUFFER_BYTES, (long) (BUFFER_MEMORY_SHARE * memoryMegabytes * 1024 * 1024)),
				(int) (UPSTREAM_DESCRIPTOR_SHARE * descriptors));
		return new GatewaySettings(settings.text("instance", "name"), settings.text("instance", "data-centre"),
				settings.address("listen", "callers"), settings.address("listen", "readiness"),
				settings.address("listen", "metrics"), settings.text("source", "kind"),
				settings.address("source", "store"), forward, settings.duration("stop", "grace", Duration.ofSeconds(8)),
				(int) (CALLER_DESCRIPTOR_SHARE * descriptors), settings.find("evacuation", "within")
					.map((text) -> settings.duration("evacuation", "within", Duration.ZERO)));
	}

	private static double bound(String text) {
		double value = Double.parseDouble(text);
		if (!Double.isFinite(value) || value < 0) {
			throw new IllegalArgumentException("not a number from 0");
		}
		return value;
	}

	// Any other word would switch off what it was meant to keep on.
	private static boolean flag(String text) {
		return switch (text.strip().toLowerCase(Locale.ROOT)) {
			case "true" -> true;
			case "false" -> false;
			default -> throw new IllegalArgumentException("neither 'true' nor 'false'");
		};
	}

}
