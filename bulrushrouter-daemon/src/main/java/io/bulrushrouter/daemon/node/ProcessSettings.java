package io.bulrushrouter.daemon.node;

import java.net.InetSocketAddress;
import java.net.URI;
import java.time.Duration;
import java.util.Set;

import io.bulrushrouter.kernel.DataCentreId;
import io.bulrushrouter.kernel.InstanceId;
import io.bulrushrouter.kernel.settings.Settings;

/**
 * The settings that all daemons share.
 *
 * @param name the process's name, unique in the fleet
 * @param dataCentre the data centre that it runs in
 * @param logFormat {@code human}, {@code json} or {@code quiet}
 * @param platform the address of the platform's object API
 * @param platformTimeout the timeout of a call to the platform
 */
public record ProcessSettings(InstanceId name, DataCentreId dataCentre, String logFormat, URI platform,
		Duration platformTimeout) {

	/** The keys of the section {@code process}. */
	public static final Set<String> PROCESS_KEYS = Set.of("name", "data-centre", "log-format");

	/** The keys of the section {@code platform}. */
	public static final Set<String> PLATFORM_KEYS = Set.of("url", "timeout");

	private static final Duration DEFAULT_TIMEOUT = Duration.ofSeconds(2);

	private static final int MAX_PORT = 65_535;

	/**
	 * Reads the shared settings from a daemon's settings.
	 * @param settings the daemon's settings
	 * @return the shared settings
	 */
	public static ProcessSettings of(Settings settings) {
		String format = settings.value("process", "log-format", "human", ProcessSettings::logFormat);
		return new ProcessSettings(settings.value("process", "name", InstanceId::of),
				settings.value("process", "data-centre", DataCentreId::of), format,
				settings.value("platform", "url", ProcessSettings::httpUrl),
				settings.duration("platform", "timeout", DEFAULT_TIMEOUT));
	}

	private static String logFormat(String text) {
		if (!Set.of("human", "json", "quiet").contains(text)) {
			throw new IllegalArgumentException("must be human, json or quiet");
		}
		return text;
	}

	/**
	 * Parses an HTTP URL.
	 * @param text the URL
	 * @return the URL
	 * @throws IllegalArgumentException if the text is not {@code http://IP:port}
	 */
	public static URI httpUrl(String text) {
		URI url = URI.create(text);
		if (!"http".equals(url.getScheme()) || url.getHost() == null) {
			throw new IllegalArgumentException("must be http://IP:port");
		}
		return url;
	}

	/**
	 * Parses a listen address.
	 * @param text {@code IP:port}
	 * @return the address
	 * @throws IllegalArgumentException if the address or port is invalid
	 */
	public static InetSocketAddress socketAddress(String text) {
		int colon = text.lastIndexOf(':');
		if (colon <= 0) {
			throw new IllegalArgumentException("must be IP:port");
		}
		int port = Integer.parseInt(text.substring(colon + 1));
		if (port < 0 || port > MAX_PORT) {
			throw new IllegalArgumentException("the port must be from 0 to " + MAX_PORT);
		}
		return new InetSocketAddress(text.substring(0, colon), port);
	}

}
