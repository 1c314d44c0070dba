package io.bulrushrouter.gateway.forward;

import java.util.Optional;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * The count of malformed responses, of which only some are logged.
 */
class MalformedResponsesTests {

	private final SimpleMeterRegistry registry = new SimpleMeterRegistry();

	private final MalformedResponses responses = new MalformedResponses(new ForwardMetrics(this.registry), () -> 0);

	@Test
	void countsEachResponseByItsReason() {
		for (int count = 0; count < 3 * MalformedResponses.MAX_LINES; count++) {
			this.responses.record("chunk-end", "a detail", "up-a", Optional.of("id-1"), 1);
		}
		this.responses.record("two-heads", "a detail", "up-a", Optional.empty(), 2);
		assertThat(count("chunk-end")).isEqualTo(3 * MalformedResponses.MAX_LINES);
		assertThat(count("two-heads")).isEqualTo(1);
	}

	private double count(String reason) {
		return this.registry.get("bulrush.gateway.malformed.responses").tag("reason", reason).counter().count();
	}

}
