package io.bulrushrouter.kernel.settings;

import java.io.IOException;
import java.io.Reader;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Function;

import org.apache.commons.configuration2.INIConfiguration;
import org.apache.commons.configuration2.ex.ConfigurationException;

import io.bulrushrouter.kernel.BulrushException;
import io.bulrushrouter.kernel.ErrorCode;

/**
 * The settings of one process, as sections of keys and values.
 *
 * <pre>{@code
 * Settings settings = Settings.ofFile(Path.of("etc/entry.ini"));
 * int port = settings.integer("listen", "port", 0, 65535);
 * }</pre>
 */
public final class Settings {

	private final String source;

	private final Map<String, Map<String, String>> sections;

	private Settings(String source, Map<String, Map<String, String>> sections) {
		this.source = source;
		this.sections = sections;
	}

	/**
	 * Reads settings from a file.
	 * @param file the INI file
	 * @return the settings
	 * @throws BulrushException with {@link ErrorCode#BAD_SETTINGS} if the file cannot be
	 * read or is malformed
	 */
	public static Settings ofFile(Path file) {
		try (Reader reader = Files.newBufferedReader(file)) {
			return ofReader(file.toString(), reader);
		}
		catch (IOException ex) {
			throw new BulrushException(ErrorCode.BAD_SETTINGS, file + ": cannot be read", ex);
		}
	}

	/**
	 * Reads settings from a reader.
	 * @param source the name of the source, for error messages
	 * @param reader the INI text
	 * @return the settings
	 * @throws BulrushException with {@link ErrorCode#BAD_SETTINGS} if the text is
	 * malformed
	 */
	public static Settings ofReader(String source, Reader reader) {
		INIConfiguration ini = new INIConfiguration();
		try {
			ini.read(reader);
		}
		catch (ConfigurationException | IOException ex) {
			throw new BulrushException(ErrorCode.BAD_SETTINGS, source + ": not an INI file", ex);
		}
		Map<String, Map<String, String>> sections = new TreeMap<>();
		for (String name : ini.getSections()) {
			sections.put((name != null) ? name : "", valuesOf(ini, name));
		}
		return new Settings(source, sections);
	}

	private static Map<String, String> valuesOf(INIConfiguration ini, String section) {
		Map<String, String> values = new TreeMap<>();
		var subset = ini.getSection(section);
		subset.getKeys().forEachRemaining((key) -> values.put(key.replace("..", "."), subset.getString(key)));
		return values;
	}

	/**
	 * Checks that all sections and keys are known.
	 * @param known the known keys by section; a section named {@code x.*} stands for all
	 * sections that start with {@code x.}
	 * @return these settings
	 * @throws BulrushException with {@link ErrorCode#BAD_SETTINGS} that names the first
	 * unknown section or key
	 */
	public Settings requireKnown(Map<String, Set<String>> known) {
		this.sections.forEach((section, keys) -> {
			Set<String> allowed = Optional.ofNullable(known.get(section))
				.or(() -> Optional.ofNullable(known.get(wildcard(section))))
				.orElseThrow(() -> failure(section, null, "unknown section"));
			keys.keySet().stream().filter((key) -> !allowed.contains(key)).findFirst().ifPresent((key) -> {
				throw failure(section, key, "unknown key");
			});
		});
		return this;
	}

	private static String wildcard(String section) {
		int dot = section.indexOf('.');
		return (dot < 0) ? "" : section.substring(0, dot) + ".*";
	}

	/**
	 * Returns the names of the sections that start with a prefix, without the prefix.
	 * @param prefix the prefix, such as {@code upstream.}
	 * @return the names, sorted
	 */
	public List<String> sections(String prefix) {
		return this.sections.keySet()
			.stream()
			.filter((name) -> name.startsWith(prefix))
			.map((name) -> name.substring(prefix.length()))
			.toList();
	}

	/**
	 * Returns a value if it is set.
	 * @param section the section
	 * @param key the key
	 * @return the value; empty if it is not set or blank
	 */
	public Optional<String> find(String section, String key) {
		return Optional.ofNullable(this.sections.getOrDefault(section, Map.of()).get(key))
			.filter((value) -> !value.isBlank());
	}

	/**
	 * Returns a string.
	 * @param section the section
	 * @param key the key
	 * @return the value
	 * @throws BulrushException with {@link ErrorCode#BAD_SETTINGS} if it is not set
	 */
	public String text(String section, String key) {
		return find(section, key).orElseThrow(() -> failure(section, key, "is not set"));
	}

	/**
	 * Returns a value of any type.
	 * @param section the section
	 * @param key the key
	 * @param parser converts the text; an exception means that the text is malformed
	 * @param <T> the type of the value
	 * @return the value
	 * @throws BulrushException with {@link ErrorCode#BAD_SETTINGS} if it is not set or
	 * malformed
	 */
	public <T> T value(String section, String key, Function<String, T> parser) {
		String text = text(section, key);
		try {
			return parser.apply(text);
		}
		catch (RuntimeException ex) {
			throw failure(section, key, "has the invalid value '" + text + "': " + ex.getMessage());
		}
	}

	/**
	 * Returns a value of any type, or a default.
	 * @param section the section
	 * @param key the key
	 * @param fallback the default
	 * @param parser converts the text; an exception means that the text is malformed
	 * @param <T> the type of the value
	 * @return the value
	 * @throws BulrushException with {@link ErrorCode#BAD_SETTINGS} if it is malformed
	 */
	public <T> T value(String section, String key, T fallback, Function<String, T> parser) {
		return find(section, key).isPresent() ? value(section, key, parser) : fallback;
	}

	/**
	 * Returns an integer.
	 * @param section the section
	 * @param key the key
	 * @param min the minimum, inclusive
	 * @param max the maximum, inclusive
	 * @return the value
	 * @throws BulrushException with {@link ErrorCode#BAD_SETTINGS} if it is not set,
	 * malformed or out of range
	 */
	public int integer(String section, String key, int min, int max) {
		return value(section, key, (text) -> inRange(Integer.parseInt(text), min, max));
	}

	private static int inRange(int number, int min, int max) {
		if (number < min || number > max) {
			throw new IllegalArgumentException("must be from " + min + " to " + max);
		}
		return number;
	}

	/**
	 * Returns a duration such as {@code 250ms}, {@code 3s}, {@code 5m} or {@code 2h}.
	 * @param section the section
	 * @param key the key
	 * @param fallback the default
	 * @return the value
	 * @throws BulrushException with {@link ErrorCode#BAD_SETTINGS} if it is malformed
	 */
	public Duration duration(String section, String key, Duration fallback) {
		return value(section, key, fallback, Settings::parseDuration);
	}

	/**
	 * Returns an address such as {@code 10.0.0.1:8080}.
	 * @param section the section
	 * @param key the key
	 * @return the address
	 * @throws BulrushException with {@link ErrorCode#BAD_SETTINGS} if it is not set or
	 * malformed
	 */
	public InetSocketAddress address(String section, String key) {
		return value(section, key, Settings::parseAddress);
	}

	private static InetSocketAddress parseAddress(String text) {
		int colon = text.lastIndexOf(':');
		if (colon <= 0) {
			throw new IllegalArgumentException("must be HOST:PORT");
		}
		return new InetSocketAddress(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
	}

	private static Duration parseDuration(String text) {
		if (text.endsWith("ms")) {
			return Duration.ofMillis(Long.parseLong(text.substring(0, text.length() - 2)));
		}
		return Duration.parse("PT" + text);
	}

	/**
	 * Creates an exception whose message names the source, the section and the key.
	 * @param section the section
	 * @param key the key; {@code null} for the whole section
	 * @param problem a description of what is wrong
	 * @return the exception to throw
	 */
	public BulrushException failure(String section, String key, String problem) {
		String location = this.source + ": [" + section + "]" + ((key != null) ? " " + key : "");
		return new BulrushException(ErrorCode.BAD_SETTINGS, location + ": " + problem);
	}

}
