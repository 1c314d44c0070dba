package io.bulrushrouter.gateway.forward;

import java.util.Random;

import io.netty.buffer.Unpooled;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import io.bulrushrouter.kernel.ErrorCode;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests for {@link RequestBody}.
 */
class RequestBodyTests {

	private static final int LENGTH = 100_000;

	private static final long LIMIT = 1 << 20;

	private final MemoryLedger ledger = new MemoryLedger(() -> LIMIT);

	private final RequestBody body = new RequestBody(this.ledger.open(() -> {
	}, () -> {
	}), LENGTH, () -> 0);

	private static byte[] content() {
		byte[] content = new byte[LENGTH];
		new Random(62).nextBytes(content);
		return content;
	}

	private void append(byte[] content, int partLength) {
		for (int from = 0; from < content.length; from += partLength) {
			int length = Math.min(partLength, content.length - from);
			assertThat(this.body.append(Unpooled.wrappedBuffer(content, from, length))).isEmpty();
		}
	}

	@ParameterizedTest
	@ValueSource(ints = { 1, 255, 257, 16_384, 40_000, LENGTH })
	void keepsABodyOfStatedLengthAndReservesNoMore(int partLength) {
		byte[] content = content();
		assertThat(this.body.begin(LENGTH, 0)).isEmpty();
		append(content, partLength);
		assertThat(this.ledger.heldBytes()).isEqualTo(LENGTH + RequestBody.REQUEST_OVERHEAD_BYTES);
		assertThat(this.body.toByteArray()).isEqualTo(content);
	}

	// Guards against memory that is held and not counted.
	@ParameterizedTest
	@ValueSource(ints = { 1, 255, 257, 16_384, 40_000, LENGTH })
	void keepsABodyInChunksAndReservesWhatItTakes(int partLength) {
		byte[] content = content();
		assertThat(this.body.begin(0, 0)).isEmpty();
		append(content, partLength);
		assertThat(this.ledger.heldBytes()).isAtLeast(LENGTH + RequestBody.REQUEST_OVERHEAD_BYTES);
		assertThat(this.ledger.heldBytes()).isAtMost(3 * LENGTH / 2 + RequestBody.REQUEST_OVERHEAD_BYTES);
		assertThat(this.body.toByteArray()).isEqualTo(content);
	}

	@Test
	void refusesABodyThatIsLongerThanTheLimit() {
		this.body.begin(0, 0);
		append(content(), 10_000);
		assertThat(this.body.append(Unpooled.wrappedBuffer(new byte[1]))).hasValue(ErrorCode.TOO_LARGE);
	}

	@Test
	void refusesABodyForWhichNoMemoryIsLeft() {
		MemoryLedger.Account other = this.ledger.open(() -> {
		}, () -> {
		});
		assertThat(other.reserveRequest(LIMIT / 2 + LIMIT / 4 - 20_000, 0)).isTrue();
		this.body.begin(0, 0);
		append(new byte[10_000], 1_000);
		assertThat(this.body.append(Unpooled.wrappedBuffer(new byte[10_000]))).hasValue(ErrorCode.OVERLOADED);
	}

}
