package io.bulrushrouter.request;

import java.io.ByteArrayOutputStream;
import java.util.Arrays;
import java.util.function.Consumer;

/**
 * Relays a response to the caller and tracks what was sent. A stream is relayed as it
 * arrives. Any other response is buffered until it is complete or exceeds the buffer, so
 * that a failed attempt can be retried without the caller noticing. The rerun of a stream
 * is compared with what was sent, and only the remainder is relayed.
 */
final class ResponseRelay {

	private final boolean stream;

	private final int maxBufferedBytes;

	private byte[] sentPrefix = new byte[0];

	private int sentPrefixLength;

	private long totalSentBytes;

	private int sentTokens;

	private boolean headSent;

	private int status;

	private String contentType = "";

	private String modelVersion = "";

	private ByteArrayOutputStream buffered = new ByteArrayOutputStream();

	private long position;

	ResponseRelay(boolean stream, int maxBufferedBytes) {
		this.stream = stream;
		this.maxBufferedBytes = maxBufferedBytes;
	}

	boolean started() {
		return this.headSent;
	}

	int sentTokens() {
		return this.sentTokens;
	}

	boolean canRerun() {
		return this.totalSentBytes == this.sentPrefixLength;
	}

	// Discards the buffered bytes of a failed attempt.
	void discardBuffered() {
		this.buffered = new ByteArrayOutputStream();
	}

	boolean head(CallMessage.Head head, boolean resumed, Consumer<EntryAction> actions) {
		if (this.headSent) {
			this.position = resumed ? this.totalSentBytes : 0;
			return head.status() == this.status && head.contentType().equals(this.contentType)
					&& head.modelVersion().equals(this.modelVersion);
		}
		this.status = head.status();
		this.contentType = head.contentType();
		this.modelVersion = head.modelVersion();
		this.position = 0;
		if (this.stream) {
			sendHead(actions);
		}
		return true;
	}

	boolean data(byte[] bytes, int tokens, Consumer<EntryAction> actions) {
		if (!this.headSent) {
			buffer(bytes, tokens, actions);
			return true;
		}
		int overlap = (int) Math.min(bytes.length, this.totalSentBytes - this.position);
		if (!matches(bytes, overlap)) {
			return false;
		}
		this.position += overlap;
		if (overlap < bytes.length) {
			send((overlap > 0) ? Arrays.copyOfRange(bytes, overlap, bytes.length) : bytes, tokens, actions);
		}
		return true;
	}

	/**
	 * Ends the response.
	 * @param actions receives the remaining actions
	 * @return false if a rerun was shorter than what was already sent
	 */
	boolean end(Consumer<EntryAction> actions) {
		if (!this.headSent) {
			flushBuffered(this.sentTokens, actions);
		}
		if (this.position < this.totalSentBytes) {
			return false;
		}
		actions.accept(new EntryAction.Complete());
		return true;
	}

	private void buffer(byte[] bytes, int tokens, Consumer<EntryAction> actions) {
		this.buffered.writeBytes(bytes);
		if (this.buffered.size() > this.maxBufferedBytes) {
			flushBuffered(tokens, actions);
		}
	}

	private void flushBuffered(int tokens, Consumer<EntryAction> actions) {
		sendHead(actions);
		byte[] bytes = this.buffered.toByteArray();
		discardBuffered();
		if (bytes.length > 0) {
			send(bytes, tokens, actions);
		}
	}

	private void sendHead(Consumer<EntryAction> actions) {
		this.headSent = true;
		actions.accept(new EntryAction.RelayHead(this.status, this.contentType));
	}

	private void send(byte[] bytes, int tokens, Consumer<EntryAction> actions) {
		recordSent(bytes);
		this.totalSentBytes += bytes.length;
		this.position = this.totalSentBytes;
		this.sentTokens = tokens;
		actions.accept(new EntryAction.RelayData(bytes));
	}

	private void recordSent(byte[] bytes) {
		if (!canRerun() || this.sentPrefixLength + bytes.length > this.maxBufferedBytes) {
			return;
		}
		if (this.sentPrefixLength + bytes.length > this.sentPrefix.length) {
			this.sentPrefix = Arrays.copyOf(this.sentPrefix,
					Math.max(this.sentPrefixLength + bytes.length, 2 * this.sentPrefix.length));
		}
		System.arraycopy(bytes, 0, this.sentPrefix, this.sentPrefixLength, bytes.length);
		this.sentPrefixLength += bytes.length;
	}

	private boolean matches(byte[] bytes, int overlap) {
		int from = (int) this.position;
		return overlap == 0 || (canRerun() && Arrays.equals(this.sentPrefix, from, from + overlap, bytes, 0, overlap));
	}

}
