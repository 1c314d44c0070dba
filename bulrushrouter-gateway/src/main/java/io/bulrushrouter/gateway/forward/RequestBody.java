package io.bulrushrouter.gateway.forward;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.LongSupplier;

import io.netty.buffer.ByteBuf;

import io.bulrushrouter.kernel.ErrorCode;

/**
 * The body of a request while it arrives, within the limit of one body and the memory
 * bound of all connections. It is kept in blocks, for which memory is reserved before
 * they are filled, and copied once it is complete.
 */
final class RequestBody {

	/**
	 * Bytes reserved for a request besides its body, so that requests without one also
	 * count.
	 */
	static final int REQUEST_OVERHEAD_BYTES = 1_024;

	/** The smallest block, for bodies that come in small parts. */
	private static final int MIN_BLOCK_BYTES = 256;

	private static final int MAX_BLOCK_BYTES = 16 * 1024;

	private final MemoryLedger.Account account;

	private final long maxBytes;

	private final LongSupplier nanoClock;

	private final List<byte[]> fullBlocks = new ArrayList<>();

	private byte[] block = new byte[0];

	private int blockLength;

	private int length;

	private long statedLength;

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
		this.statedLength = contentLength;
		return this.account.reserveRequest(REQUEST_OVERHEAD_BYTES + headBytes, this.nanoClock.getAsLong())
				? Optional.empty() : Optional.of(ErrorCode.OVERLOADED);
	}

	/**
	 * Appends a part.
	 * @param part the bytes, which are read
	 * @return why the request cannot be taken, or empty
	 */
	Optional<ErrorCode> append(ByteBuf part) {
		if (this.length + part.readableBytes() > this.maxBytes) {
			return Optional.of(ErrorCode.TOO_LARGE);
		}
		while (part.isReadable()) {
			if (this.blockLength == this.block.length && !startBlock(part.readableBytes())) {
				return Optional.of(ErrorCode.OVERLOADED);
			}
			int copied = Math.min(part.readableBytes(), this.block.length - this.blockLength);
			part.readBytes(this.block, this.blockLength, copied);
			this.blockLength += copied;
			this.length += copied;
		}
		return Optional.empty();
	}

	// The blocks of a body of stated length have no spare bytes.
	private int nextBlockBytes(int needed) {
		boolean stated = this.length < this.statedLength;
		long bytes = stated ? this.statedLength - this.length
				: Math.max(needed, Math.max(MIN_BLOCK_BYTES, this.length / 2));
		return (int) Math.min(bytes, MAX_BLOCK_BYTES);
	}

	private boolean startBlock(int needed) {
		int bytes = nextBlockBytes(needed);
		if (!this.account.reserveRequest(bytes, this.nanoClock.getAsLong())) {
			return false;
		}
		if (this.blockLength > 0) {
			this.fullBlocks.add(this.block);
		}
		this.block = new byte[bytes];
		this.blockLength = 0;
		return true;
	}

	byte[] toByteArray() {
		if (this.length == this.block.length) {
			return this.block;
		}
		byte[] bytes = new byte[this.length];
		int position = 0;
		for (byte[] full : this.fullBlocks) {
			System.arraycopy(full, 0, bytes, position, full.length);
			position += full.length;
		}
		System.arraycopy(this.block, 0, bytes, position, this.blockLength);
		return bytes;
	}

}
