package io.bulrushrouter.kernel.settings;

import java.io.StringReader;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Map;
import java.util.Set;

import org.junit.jupiter.api.Test;

import io.bulrushrouter.kernel.BulrushException;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

/**
 * Tests for {@link Settings}.
 */
class SettingsTests {

	private static final String TEXT = "[listen]\nport = 80\nwait = 250ms\n[upstream.a]\nurl = http://127.0.0.1:1/x,y\n";

	private static Settings settings() {
		return Settings.ofReader("test.ini", new StringReader(TEXT));
	}

	@Test
	void readsTypedValues() {
		assertThat(settings().integer("listen", "port", 0, 100)).isEqualTo(80);
		assertThat(settings().duration("listen", "wait", Duration.ZERO)).isEqualTo(Duration.ofMillis(250));
		assertThat(settings().sections("upstream.")).containsExactly("a");
		assertThat(settings().text("upstream.a", "url")).isEqualTo("http://127.0.0.1:1/x,y");
	}

	@Test
	void namesFileSectionAndKeyOfABadValue() {
		var failure = assertThrows(BulrushException.class, () -> settings().integer("listen", "port", 0, 10));
		assertThat(failure).hasMessageThat().contains("test.ini: [listen] port");
	}

	@Test
	void refusesUnknownKeys() {
		var known = Map.of("listen", Set.of("port"), "upstream.*", Set.of("url"));
		var failure = assertThrows(BulrushException.class, () -> settings().requireKnown(known));
		assertThat(failure).hasMessageThat().isEqualTo("test.ini: [listen] wait: unknown key");
	}

	@Test
	void refusesAMissingFile() {
		assertThrows(BulrushException.class, () -> Settings.ofFile(Path.of("no-such-file.ini")));
	}

}
