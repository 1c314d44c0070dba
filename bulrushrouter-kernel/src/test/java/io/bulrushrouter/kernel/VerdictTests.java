package io.bulrushrouter.kernel;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests for {@link Verdict}.
 */
class VerdictTests {

	@Test
	void onlyNotRunExcludesThatTheRequestRan() {
		assertThat(Verdict.ofNotRun(ErrorCode.DRAINING).mayHaveRun()).isFalse();
		assertThat(Verdict.ofMayHaveRun(ErrorCode.CONNECTION_LOST).mayHaveRun()).isTrue();
		assertThat(Verdict.ofAnswered().mayHaveRun()).isTrue();
	}

	@Property(seed = "1")
	void failureNamesTheCode(@ForAll ErrorCode code) {
		assertThat(Verdict.ofNotRun(code).failure()).hasValue(code);
		assertThat(Verdict.ofMayHaveRun(code).failure()).hasValue(code);
	}

}
