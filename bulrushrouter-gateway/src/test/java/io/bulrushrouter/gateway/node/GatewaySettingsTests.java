package io.bulrushrouter.gateway.node;

import java.io.IOException;
import java.io.StringReader;
import java.time.Duration;
import java.util.Optional;

import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import io.bulrushrouter.kernel.BulrushException;
import io.bulrushrouter.kernel.settings.Settings;

import static com.google.common.truth.Truth.assertThat;

/**
 * Settings that a deployment may leave out.
 */
class GatewaySettingsTests {

	private static final String REQUIRED = """
			[instance]
			name = test
			data-centre = a
			memory-mb = 256
			descriptors = 1024
			[listen]
			callers = 127.0.0.1:1
			readiness = 127.0.0.1:2
			metrics = 127.0.0.1:3
			[source]
			kind = test
			store = 127.0.0.1:4
			[retry]
			ratio = 0.2
			spare = 20
			""";

	private static GatewaySettings read(String text) throws IOException {
		return GatewaySettings.of(Settings.ofReader("test", new StringReader(text)));
	}

	// Guards against a malformed setting that lifts the bound that it sets.
	@ParameterizedTest
	@ValueSource(strings = { "[keys]\nfail-closed = treu\n", "[keys]\nfail-closed = 1\n" })
	void refusesAFlagThatIsNeitherTrueNorFalse(String text) {
		Assertions.assertThrows(BulrushException.class, () -> read(REQUIRED + text));
	}

	@ParameterizedTest
	@ValueSource(strings = { "NaN", "Infinity", "-1" })
	void refusesABudgetThatBoundsNothing(String value) {
		Assertions.assertThrows(BulrushException.class,
				() -> read(REQUIRED.replace("ratio = 0.2", "ratio = " + value)));
		Assertions.assertThrows(BulrushException.class, () -> read(REQUIRED.replace("spare = 20", "spare = " + value)));
	}

	@Test
	void watchesEvacuationsOnlyWhereTheirBoundIsSet() throws IOException {
		assertThat(read(REQUIRED).evacuation()).isEqualTo(Optional.empty());
		assertThat(read(REQUIRED + "[evacuation]\nwithin = 5000ms\n").evacuation())
			.isEqualTo(Optional.of(Duration.ofSeconds(5)));
	}

}
