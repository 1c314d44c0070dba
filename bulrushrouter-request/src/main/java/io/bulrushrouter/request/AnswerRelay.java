package io.bulrushrouter.request;

import java.io.ByteArrayOutputStream;
import java.util.Arrays;
import java.util.function.Consumer;

/**
 * What of an answer went to the caller. A stream is passed on as it comes. Another answer
 * is held until it is whole, or longer than what is kept, so that a lost attempt can be
 * repeated unseen. A rerun of a stream is compared with what was sent and only its rest
 * is passed on.
 */
final class AnswerRelay {

	private final boolean stream;

	private final int maxKeptBytes;

	private byte[] sent = new byte[0];

	private int sentLength;

	private long totalSent;

	private int sentTokens;

	private boolean headSent;

	private int status;

	private String contentType = "";

	private String modelVersion = "";

	private ByteArrayOutputStream held = new ByteArrayOutputStream();

	private long position;

	AnswerRelay(boolean stream, int maxKeptBytes) {
		this.stream = stream;
		this.maxKeptBytes = maxKeptBytes;
	}

	boolean started() {
		return this.headSent;
	}

	int sentTokens() {
		return this.sentTokens;
	}

	boolean canRerun() {
		return this.totalSent == this.sentLength;
	}

	// Forgets what an attempt brought that did not go to the caller.
	void discardHeld() {
		this.held = new ByteArrayOutputStream();
	}

	boolean head(CallMessage.Head head, boolean resumed, Consumer<EntryAction> actions) {
		if (this.headSent) {
			this.position = resumed ? this.totalSent : 0;
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
			hold(bytes, tokens, actions);
			return true;
		}
		int known = (int) Math.min(bytes.length, this.totalSent - this.position);
		if (!matches(bytes, known)) {
			return false;
		}
		this.position += known;
		if (known < bytes.length) {
			send((known > 0) ? Arrays.copyOfRange(bytes, known, bytes.length) : bytes, tokens, actions);
		}
		return true;
	}

	/**
	 * Ends the answer.
	 * @param actions takes what is left to pass on
	 * @return false if a rerun was shorter than what was sent
	 */
	boolean end(Consumer<EntryAction> actions) {
		if (!this.headSent) {
			flushHeld(this.sentTokens, actions);
		}
		if (this.position < this.totalSent) {
			return false;
		}
		actions.accept(new EntryAction.Complete());
		return true;
	}

	private void hold(byte[] bytes, int tokens, Consumer<EntryAction> actions) {
		this.held.writeBytes(bytes);
		if (this.held.size() > this.maxKeptBytes) {
			flushHeld(tokens, actions);
		}
	}

	private void flushHeld(int tokens, Consumer<EntryAction> actions) {
		sendHead(actions);
		byte[] bytes = this.held.toByteArray();
		discardHeld();
		if (bytes.length > 0) {
			send(bytes, tokens, actions);
		}
	}

	private void sendHead(Consumer<EntryAction> actions) {
		this.headSent = true;
		actions.accept(new EntryAction.RelayHead(this.status, this.contentType));
	}

	private void send(byte[] bytes, int tokens, Consumer<EntryAction> actions) {
		keepSent(bytes);
		this.totalSent += bytes.length;
		this.position = this.totalSent;
		this.sentTokens = tokens;
		actions.accept(new EntryAction.Relay(bytes));
	}

	private void keepSent(byte[] bytes) {
		if (!canRerun() || this.sentLength + bytes.length > this.maxKeptBytes) {
			return;
		}
		if (this.sentLength + bytes.length > this.sent.length) {
			this.sent = Arrays.copyOf(this.sent, Math.max(this.sentLength + bytes.length, 2 * this.sent.length));
		}
		System.arraycopy(bytes, 0, this.sent, this.sentLength, bytes.length);
		this.sentLength += bytes.length;
	}

	private boolean matches(byte[] bytes, int known) {
		int from = (int) this.position;
		return known == 0 || (canRerun() && Arrays.equals(this.sent, from, from + known, bytes, 0, known));
	}

}
