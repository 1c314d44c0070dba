package io.bulrushrouter.gateway.forward;

import java.io.ByteArrayOutputStream;
import java.util.Optional;
import java.util.function.LongSupplier;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;

import io.bulrushrouter.kernel.ErrorCode;

/**
 * The body of a request while it arrives, within the limit of one body and the memory
 * bound of all connections.
 */
final class RequestBody {

	/**
	 * Bytes reserved for a request besides its body, so that requests without one also
	 * count.
	 */
	static final int REQUEST_OVERHEAD_BYTES = 1_024;

	private final MemoryLedger.Account account;

	private final long maxBytes;

	private final LongSupplier nanoClock;

	private final ByteArrayOutputStream bytes = new ByteArrayOutputStream(0);

	/**
	 * Creates an empty body.
	 * @param account the account of the connection
	 * @param maxBytes the limit of one body
	 * @param nanoClock the monotonic clock, in nanoseconds
	 */
	RequestBody(MemoryLedger.Account account, long maxBytes, LongSupplier nanoClock) {
		this.nanoClock = nanoClock;
		this.account = account;
		this.maxBytes = maxBytes;
	}

	/**
	 * Reserves the memory that each request takes besides its body.
	 * @param contentLength the stated length of the body, 0 if none is stated
	 * @param headBytes the memory that the head takes
	 * @return why the request cannot be taken, or empty
	 */
	Optional<ErrorCode> begin(long contentLength, long headBytes) {
		if (contentLength > this.maxBytes) {
			return Optional.of(ErrorCode.TOO_LARGE);
		}
		return this.account.reserveRequest(REQUEST_OVERHEAD_BYTES + headBytes, this.nanoClock.getAsLong())
				? Optional.empty() : Optional.of(ErrorCode.OVERLOADED);
	}

	/**
	 * Appends a part.
	 * @param part the bytes, which are copied
	 * @return why the request cannot be taken, or empty
	 */
	Optional<ErrorCode> append(ByteBuf part) {
		int length = part.readableBytes();
		if (this.bytes.size() + length > this.maxBytes) {
			return Optional.of(ErrorCode.TOO_LARGE);
		}
		if (!this.account.reserveRequest(length, this.nanoClock.getAsLong())) {
			return Optional.of(ErrorCode.OVERLOADED);
		}
		byte[] copy = ByteBufUtil.getBytes(part);
		this.bytes.write(copy, 0, copy.length);
		return Optional.empty();
	}

	byte[] toByteArray() {
		return this.bytes.toByteArray();
	}

}
