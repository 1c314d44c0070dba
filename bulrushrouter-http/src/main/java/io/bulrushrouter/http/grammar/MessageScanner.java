package io.bulrushrouter.http.grammar;

import java.util.Optional;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.util.ByteProcessor;

/**
 * Checks the bytes of a connection against the grammar of HTTP/1.1 (RFC 9112): start
 * line, field lines, framing of the body, chunks and trailers. Messages follow each other
 * in any segments. The bytes of a body are counted and not looked at. Not thread-safe.
 * <p>
 * Two deviations are accepted, since no two readers understand them differently: empty
 * lines in front of a request, and a status line without the space before an empty
 * reason. Whitespace around chunk extensions is accepted as the grammar has it.
 */
public final class MessageScanner {

	private static final byte[] VERSION_START = { 'H', 'T', 'T', 'P', '/', '1', '.' };

	private static final int STATUS_DIGITS = 3;

	private final boolean requests;

	private final FieldLine field = new FieldLine();

	private final BodyFraming framing = new BodyFraming();

	private final ByteProcessor accept = this::accept;

	private State state;

	/** Where to continue after a line feed. */
	private State afterLine;

	private Violation violation;

	/** Characters of the current element so far. */
	private int length;

	private long remaining;

	private long chunkSize;

	private boolean inTrailers;

	private int completed;

	private boolean stopped;

	private long lines;

	/** Bytes of the current chunk that earlier calls have scanned. */
	private long unverifiedBytes;

	private MessageScanner(boolean requests) {
		this.requests = requests;
		startMessage();
	}

	/**
	 * Creates a scanner of requests.
	 * @return the scanner
	 */
	public static MessageScanner ofRequests() {
		return new MessageScanner(true);
	}

	/**
	 * Creates a scanner of responses to GET requests.
	 * @return the scanner
	 */
	public static MessageScanner ofResponses() {
		return new MessageScanner(false);
	}

	/**
	 * Expects the response to a request next.
	 * @param method the method of the request
	 */
	public void expectResponseTo(HttpMethod method) {
		startMessage();
		this.violation = null;
		this.framing.expectResponseTo(method);
		this.completed = 0;
	}

	private void startMessage() {
		this.state = this.requests ? State.BEFORE_REQUEST : State.VERSION;
		this.length = 0;
		this.framing.startMessage();
		this.remaining = 0;
		this.chunkSize = 0;
		this.inTrailers = false;
	}

	/**
	 * Scans bytes as they arrive.
	 * @param bytes the bytes, which stay unread
	 * @return how many of them belong to messages that have ended; all if no message has
	 * begun behind these
	 */
	public int scan(ByteBuf bytes) {
		int start = bytes.readerIndex();
		int end = bytes.writerIndex();
		int index = start;
		int endOfMessages = start;
		this.unverifiedBytes = inChunk() ? this.chunkSize - this.remaining : 0;
		while (index < end && this.violation == null) {
			int before = this.completed;
			if (this.state == State.BODY) {
				index += skipBody(end - index);
			}
			else if (this.state == State.BODY_TO_CLOSE) {
				index = end;
			}
			else {
				index = skipText(bytes, index, end);
				int last = bytes.forEachByte(index, end - index, this.accept);
				index = (last < 0) ? end : last + 1;
			}
			if (this.completed != before) {
				endOfMessages = index;
			}
		}
		return endOfMessages - start;
	}

	// Most of a head is text, of which only the end matters.
	private int skipText(ByteBuf bytes, int from, int end) {
		boolean inText = this.state == State.REASON || (this.state == State.VALUE && !this.field.framesBody());
		int next = inText ? bytes.forEachByte(from, end - from, Characters.TEXT) : from;
		return (next < 0) ? end : next;
	}

	private boolean inChunk() {
		return this.framing.chunked() && (this.state == State.BODY || this.state == State.CHUNK_END
				|| (this.state == State.LINE_FEED && this.afterLine == State.CHUNK_START));
	}

	private int skipBody(int available) {
		int skipped = (int) Math.min(this.remaining, available);
		this.remaining -= skipped;
		if (this.remaining == 0) {
			if (this.framing.chunked()) {
				this.state = State.CHUNK_END;
			}
			else {
				complete();
			}
		}
		return skipped;
	}

	/**
	 * Returns what is malformed. Nothing is scanned behind it.
	 * @return the violation, or empty
	 */
	public Optional<Violation> violation() {
		return Optional.ofNullable(this.violation);
	}

	/**
	 * Returns how many lines were scanned, of heads, trailers and those that frame
	 * chunks.
	 * @return the number since the start
	 */
	public long lines() {
		return this.lines;
	}

	/**
	 * Returns whether a response has ended, or ends with the connection.
	 * @return whether the end of the connection would cut nothing off
	 */
	public boolean responseMayEnd() {
		return this.completed > 0 || this.state == State.BODY_TO_CLOSE;
	}

	/**
	 * Returns how many bytes of the chunk in which the violation was found were scanned
	 * by earlier calls, so that they were passed on before its size could be checked.
	 * @return the number of body bytes, 0 if no chunk is malformed
	 */
	public long unverifiedBytes() {
		return this.unverifiedBytes;
	}

	// Returns whether the next byte is to be looked at too.
	private boolean accept(byte character) {
		this.stopped = false;
		switch (this.state) {
			case BEFORE_REQUEST -> beforeRequest(character);
			case METHOD -> method(character);
			case TARGET -> target(character);
			case VERSION -> version(character);
			case AFTER_VERSION -> afterVersion(character);
			case STATUS -> status(character);
			case AFTER_STATUS -> afterStatus(character);
			case REASON -> text(character, State.LINE_START, Violation.STATUS_LINE);
			case LINE_START -> lineStart(character);
			case NAME -> name(character);
			case VALUE -> value(character);
			case LINE_FEED -> lineFeed(character);
			case LAST_LINE_FEED -> lastLineFeed(character);
			case CHUNK_START, CHUNK_SIZE -> chunkSize(character);
			case BEFORE_EXTENSION -> beforeExtension(character);
			case EXTENSION -> text(character, afterChunkSize(), Violation.CHUNK_SIZE);
			case CHUNK_END -> chunkEnd(character);
			case BODY, BODY_TO_CLOSE -> throw new IllegalStateException("bytes of a body are not scanned");
		}
		return !this.stopped;
	}

	private void reject(Violation found) {
		this.violation = found;
		this.stopped = true;
	}

	private void enter(State next) {
		this.state = next;
		this.length = 0;
	}

	private void enterBody(State next, long bytes) {
		enter(next);
		this.remaining = bytes;
		this.stopped = true;
	}

	private void endLine(State next) {
		this.state = State.LINE_FEED;
		this.afterLine = next;
	}

	private void beforeRequest(byte character) {
		if (character != '\r' && character != '\n') {
			enter(State.METHOD);
			method(character);
		}
	}

	private void method(byte character) {
		if (character == ' ' && this.length > 0) {
			enter(State.TARGET);
		}
		else if (Characters.isToken(character)) {
			this.length++;
		}
		else {
			reject(Violation.REQUEST_LINE);
		}
	}

	private void target(byte character) {
		if (character == ' ' && this.length > 0) {
			enter(State.VERSION);
		}
		else if (Characters.isVisible(character)) {
			this.length++;
		}
		else {
			reject(Violation.REQUEST_LINE);
		}
	}

	private Violation startLine() {
		return this.requests ? Violation.REQUEST_LINE : Violation.STATUS_LINE;
	}

	private void version(byte character) {
		if (this.length < VERSION_START.length && character == VERSION_START[this.length]) {
			this.length++;
		}
		else if (this.length == VERSION_START.length && (character == '0' || character == '1')) {
			this.framing.version10(character == '0');
			enter(State.AFTER_VERSION);
		}
		else {
			reject(startLine());
		}
	}

	private void afterVersion(byte character) {
		if (this.requests && character == '\r') {
			endLine(State.LINE_START);
		}
		else if (!this.requests && character == ' ') {
			enter(State.STATUS);
		}
		else {
			reject(startLine());
		}
	}

	private void status(byte character) {
		boolean valid = Characters.isDigit(character) && (this.length > 0 || (character >= '1' && character <= '5'));
		if (!valid) {
			reject(Violation.STATUS_LINE);
			return;
		}
		this.framing.statusDigit(character - '0');
		if (++this.length == STATUS_DIGITS) {
			enter(State.AFTER_STATUS);
		}
	}

	private void afterStatus(byte character) {
		if (character == ' ') {
			enter(State.REASON);
			this.stopped = true;
		}
		else if (character == '\r') {
			endLine(State.LINE_START);
		}
		else {
			reject(Violation.STATUS_LINE);
		}
	}

	private void text(byte character, State next, Violation otherwise) {
		if (character == '\r') {
			endLine(next);
		}
		else if (!Characters.isText(character)) {
			reject((character == '\n') ? Violation.LINE_END : otherwise);
		}
	}

	private void lineStart(byte character) {
		if (character == '\r') {
			this.state = State.LAST_LINE_FEED;
		}
		else if (character == ' ' || character == '\t') {
			reject(Violation.FOLDED_FIELD);
		}
		else {
			this.field.begin();
			this.state = State.NAME;
			name(character);
		}
	}

	private void name(byte character) {
		if (Characters.isToken(character)) {
			this.field.appendName(character);
		}
		else if (character == ':' && !this.field.nameEmpty()) {
			this.field.endName();
			this.state = State.VALUE;
			this.stopped = true;
		}
		else {
			reject((character == '\n') ? Violation.LINE_END : Violation.FIELD_NAME);
		}
	}

	private void value(byte character) {
		text(character, State.LINE_START, Violation.FIELD_VALUE);
		if (character != '\r') {
			this.field.appendValue(character);
		}
		// The framing of a body is not changed behind it.
		else if (this.field.framesBody() && !this.inTrailers) {
			this.framing.accept(this.field).ifPresent(this::reject);
		}
	}

	private void lineFeed(byte character) {
		if (character == '\n') {
			endOfLine();
		}
		else {
			reject((this.afterLine == State.CHUNK_START) ? Violation.CHUNK_END : Violation.LINE_END);
		}
	}

	private void endOfLine() {
		this.lines++;
		switch (this.afterLine) {
			case BODY -> enterBody(State.BODY, this.chunkSize);
			case CHUNK_START -> {
				this.unverifiedBytes = 0;
				enter(State.CHUNK_START);
			}
			default -> enter(this.afterLine);
		}
	}

	private void lastLineFeed(byte character) {
		if (character != '\n') {
			reject(Violation.LINE_END);
		}
		else if (this.inTrailers) {
			complete();
		}
		else {
			endHead();
		}
	}

	private void endHead() {
		switch (this.requests ? this.framing.ofRequest() : this.framing.ofResponse()) {
			case NONE -> complete();
			case INTERIM -> startMessage();
			case CHUNKS -> enter(State.CHUNK_START);
			case LENGTH -> enterBody(State.BODY, this.framing.contentLength());
			case TO_CLOSE -> enterBody(State.BODY_TO_CLOSE, 0);
			case LENGTH_AND_CODING -> reject(Violation.LENGTH_AND_CODING);
			case NOT_ALLOWED -> reject(Violation.BODY_NOT_ALLOWED);
		}
	}

	private void complete() {
		startMessage();
		this.framing.expectResponseTo(HttpMethod.GET);
		this.completed++;
		this.stopped = true;
	}

	private void chunkSize(byte character) {
		int digit = Character.digit((char) (character & 0xff), 16);
		if (digit >= 0) {
			this.state = State.CHUNK_SIZE;
			this.chunkSize = (this.length++ == 0) ? digit : 16 * this.chunkSize + digit;
			if (this.chunkSize > Integer.MAX_VALUE) {
				reject(Violation.CHUNK_SIZE);
			}
		}
		else if (this.length == 0) {
			reject(Violation.CHUNK_SIZE);
		}
		else if (character == '\r') {
			endLine(afterChunkSize());
		}
		else {
			this.state = State.BEFORE_EXTENSION;
			beforeExtension(character);
		}
	}

	private State afterChunkSize() {
		this.inTrailers = this.chunkSize == 0;
		return this.inTrailers ? State.LINE_START : State.BODY;
	}

	private void beforeExtension(byte character) {
		if (character == ';') {
			this.state = State.EXTENSION;
		}
		else if (character != ' ' && character != '\t') {
			reject(Violation.CHUNK_SIZE);
		}
	}

	private void chunkEnd(byte character) {
		if (character == '\r') {
			endLine(State.CHUNK_START);
		}
		else {
			reject(Violation.CHUNK_END);
		}
	}

	/**
	 * What the next byte belongs to.
	 */
	private enum State {

		BEFORE_REQUEST, METHOD, TARGET, VERSION, AFTER_VERSION, STATUS, AFTER_STATUS, REASON, LINE_START, NAME, VALUE,
		LINE_FEED, LAST_LINE_FEED, CHUNK_START, CHUNK_SIZE, BEFORE_EXTENSION, EXTENSION, CHUNK_END, BODY, BODY_TO_CLOSE

	}

}
