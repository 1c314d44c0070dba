package io.bulrushrouter.ranks;

import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Set;

import io.bulrushrouter.kernel.settings.Settings;

/**
 * The settings of a rank sidecar.
 *
 * @param instance the instance's name, for logs
 * @param address the instance's address
 * @param peerPort the port on which the sidecars of a group communicate
 * @param engine the address on which the engine listens
 * @param service the service that the engine belongs to
 * @param source the name of the plug-in that provides the {@link RankSource}
 * @param store the store's address
 * @param linkBytesPerSecond the bandwidth of the instance's link, in bytes per second
 */
public record RankSettings(String instance, String address, int peerPort, InetSocketAddress engine, String service,
		String source, InetSocketAddress store, long linkBytesPerSecond) {

	/** The bandwidth if the settings do not state it, in megabits per second. */
	private static final double DEFAULT_LINK_MEGABITS = 4;

	private static final double BYTES_PER_MEGABIT = 125_000;

	private static final Map<String, Set<String>> KNOWN = Map.of("instance", Set.of("name", "address", "bandwidth"),
			"peers", Set.of("port"), "engine", Set.of("address", "service"), "source", Set.of("kind", "store"));

	/**
	 * Creates the settings from an INI file.
	 * @param settings the contents of the INI file
	 * @return the settings
	 * @throws io.bulrushrouter.kernel.BulrushException with
	 * {@link io.bulrushrouter.kernel.ErrorCode#BAD_SETTINGS} if a setting is missing,
	 * unknown or invalid; the message names the setting
	 */
	public static RankSettings of(Settings settings) {
		settings.requireKnown(KNOWN);
		return new RankSettings(settings.text("instance", "name"), settings.text("instance", "address"),
				settings.integer("peers", "port", 0, 65_535), settings.address("engine", "address"),
				settings.text("engine", "service"), settings.text("source", "kind"),
				settings.address("source", "store"), (long) (BYTES_PER_MEGABIT
						* settings.value("instance", "bandwidth", DEFAULT_LINK_MEGABITS, RankSettings::megabits)));
	}

	private static double megabits(String text) {
		double megabits = Double.parseDouble(text);
		if (!(megabits > 0)) {
			throw new IllegalArgumentException("must be a positive number of megabits per second");
		}
		return megabits;
	}

}
