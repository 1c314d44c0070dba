package io.bulrushrouter.http;

import java.nio.charset.StandardCharsets;
import java.util.AbstractMap.SimpleImmutableEntry;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.NoSuchElementException;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Function;

import io.netty.handler.codec.DateFormatter;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpHeadersFactory;
import io.netty.util.AsciiString;

/**
 * Headers in one byte array, in the order in which they were added. A field takes its
 * characters and two bytes more, so that headers of any shape take about as much memory
 * as on the wire, where a table of objects takes up to 40 times that. Each look-up walks
 * over all fields. Not thread-safe.
 */
public final class CompactHeaders extends HttpHeaders {

	/** Lets a decoder of the library create such headers. */
	public static final HttpHeadersFactory FACTORY = new Factory();

	/** Enough for the head of an ordinary request. */
	private static final int INITIAL_BYTES = 512;

	/** Memory of the objects besides the characters. */
	private static final int OBJECT_BYTES = 64;

	/** Bits of a length that a byte holds; the sign bit says that more follow. */
	private static final int LENGTH_BITS = 7;

	private static final int LENGTH_MASK = (1 << LENGTH_BITS) - 1;

	private static final int MAX_LATIN_1 = 0xff;

	private static final int DELETE = 0x7f;

	/** Each field: length of the name, length of the value, name, value. */
	private byte[] fields = new byte[INITIAL_BYTES];

	private int length;

	private int size;

	/**
	 * Returns the memory that the headers take.
	 * @return the number of bytes
	 */
	public int heldBytes() {
		return OBJECT_BYTES + this.fields.length;
	}

	private Field first(CharSequence name) {
		Field field = new Field();
		while (field.next()) {
			if (field.named(name)) {
				return field;
			}
		}
		return null;
	}

	@Override
	public String get(String name) {
		return get((CharSequence) name);
	}

	@Override
	public String get(CharSequence name) {
		Field field = first(name);
		return (field != null) ? field.value() : null;
	}

	private <T> T get(CharSequence name, Function<String, T> parser) {
		String value = get(name);
		return (value != null) ? parser.apply(value) : null;
	}

	private static <T> T orDefault(T value, T defaultValue) {
		return (value != null) ? value : defaultValue;
	}

	@Override
	public Integer getInt(CharSequence name) {
		return get(name, Integer::valueOf);
	}

	@Override
	public int getInt(CharSequence name, int defaultValue) {
		return orDefault(getInt(name), defaultValue);
	}

	@Override
	public Short getShort(CharSequence name) {
		return get(name, Short::valueOf);
	}

	@Override
	public short getShort(CharSequence name, short defaultValue) {
		return orDefault(getShort(name), defaultValue);
	}

	@Override
	public Long getTimeMillis(CharSequence name) {
		return get(name, (value) -> DateFormatter.parseHttpDate(value).getTime());
	}

	@Override
	public long getTimeMillis(CharSequence name, long defaultValue) {
		return orDefault(getTimeMillis(name), defaultValue);
	}

	@Override
	public List<String> getAll(String name) {
		return getAll((CharSequence) name);
	}

	@Override
	public List<String> getAll(CharSequence name) {
		List<String> values = new ArrayList<>(1);
		Field field = new Field();
		while (field.next()) {
			if (field.named(name)) {
				values.add(field.value());
			}
		}
		return values;
	}

	@Override
	public List<Map.Entry<String, String>> entries() {
		List<Map.Entry<String, String>> entries = new ArrayList<>(this.size);
		iterator().forEachRemaining(entries::add);
		return entries;
	}

	@Override
	public boolean contains(String name) {
		return first(name) != null;
	}

	@Override
	public boolean contains(CharSequence name) {
		return first(name) != null;
	}

	@Override
	public boolean isEmpty() {
		return this.size == 0;
	}

	@Override
	public int size() {
		return this.size;
	}

	@Override
	public Set<String> names() {
		Set<String> names = new TreeSet<>(String.CASE_INSENSITIVE_ORDER);
		Field field = new Field();
		while (field.next()) {
			names.add(field.name());
		}
		return names;
	}

	@Override
	public Iterator<Map.Entry<String, String>> iterator() {
		return new FieldIterator<>((field) -> new SimpleImmutableEntry<>(field.name(), field.value()));
	}

	/**
	 * Iterates over the fields without copying their characters. An entry is valid until
	 * the headers change.
	 * @return the iterator
	 */
	@Override
	public Iterator<Map.Entry<CharSequence, CharSequence>> iteratorCharSequence() {
		return new FieldIterator<>(
				(field) -> new SimpleImmutableEntry<>(field.nameCharacters(), field.valueCharacters()));
	}

	@Override
	public HttpHeaders add(String name, Object value) {
		return add((CharSequence) name, value);
	}

	@Override
	public HttpHeaders add(CharSequence name, Object value) {
		CharSequence text = (value instanceof CharSequence characters) ? characters : value.toString();
		int nameLength = name.length();
		int valueLength = text.length();
		reserve(lengthBytes(nameLength) + lengthBytes(valueLength) + nameLength + valueLength);
		int position = putLength(putLength(this.length, nameLength), valueLength);
		position = putText(position, name);
		this.length = putText(position, text);
		this.size++;
		return this;
	}

	private void reserve(int bytes) {
		int needed = this.length + bytes;
		if (needed > this.fields.length) {
			this.fields = Arrays.copyOf(this.fields, Math.max(needed, this.fields.length + this.fields.length / 2));
		}
	}

	private static int lengthBytes(int length) {
		int bytes = 1;
		for (int rest = length >> LENGTH_BITS; rest > 0; rest >>= LENGTH_BITS) {
			bytes++;
		}
		return bytes;
	}

	private int putLength(int from, int textLength) {
		int position = from;
		int rest = textLength;
		while (rest > LENGTH_MASK) {
			this.fields[position++] = (byte) (rest | ~LENGTH_MASK);
			rest >>= LENGTH_BITS;
		}
		this.fields[position++] = (byte) rest;
		return position;
	}

	private int putText(int from, CharSequence text) {
		if (text instanceof AsciiString ascii) {
			System.arraycopy(ascii.array(), ascii.arrayOffset(), this.fields, from, ascii.length());
			for (int index = from; index < from + ascii.length(); index++) {
				requireText(this.fields[index] & MAX_LATIN_1);
			}
			return from + ascii.length();
		}
		for (int index = 0; index < text.length(); index++) {
			char character = text.charAt(index);
			requireText(character);
			this.fields[from + index] = (byte) ((character > MAX_LATIN_1) ? '?' : character);
		}
		return from + text.length();
	}

	// A control character would let a value end its line.
	private static void requireText(int character) {
		if ((character < ' ' && character != '\t') || character == DELETE) {
			throw new IllegalArgumentException("a header holds the control character " + character);
		}
	}

	@Override
	public HttpHeaders add(String name, Iterable<?> values) {
		values.forEach((value) -> add((CharSequence) name, value));
		return this;
	}

	@Override
	public HttpHeaders addInt(CharSequence name, int value) {
		return add(name, Integer.toString(value));
	}

	@Override
	public HttpHeaders addShort(CharSequence name, short value) {
		return add(name, Short.toString(value));
	}

	@Override
	public HttpHeaders set(String name, Object value) {
		return set((CharSequence) name, value);
	}

	@Override
	public HttpHeaders set(CharSequence name, Object value) {
		return remove(name).add(name, value);
	}

	@Override
	public HttpHeaders set(String name, Iterable<?> values) {
		return remove(name).add(name, values);
	}

	@Override
	public HttpHeaders setInt(CharSequence name, int value) {
		return set(name, Integer.toString(value));
	}

	@Override
	public HttpHeaders setShort(CharSequence name, short value) {
		return set(name, Short.toString(value));
	}

	@Override
	public HttpHeaders remove(String name) {
		return remove((CharSequence) name);
	}

	@Override
	public HttpHeaders remove(CharSequence name) {
		Field field = new Field();
		int kept = 0;
		int remaining = 0;
		while (field.next()) {
			if (!field.named(name)) {
				int bytes = field.end - field.start;
				System.arraycopy(this.fields, field.start, this.fields, kept, bytes);
				kept += bytes;
				remaining++;
			}
		}
		this.length = kept;
		this.size = remaining;
		return this;
	}

	@Override
	public HttpHeaders clear() {
		this.length = 0;
		this.size = 0;
		return this;
	}

	@Override
	public HttpHeaders copy() {
		CompactHeaders copy = new CompactHeaders();
		copy.fields = Arrays.copyOf(this.fields, Math.max(INITIAL_BYTES, this.length));
		copy.length = this.length;
		copy.size = this.size;
		return copy;
	}

	/**
	 * Creates empty headers.
	 */
	private static final class Factory implements HttpHeadersFactory {

		@Override
		public HttpHeaders newHeaders() {
			return new CompactHeaders();
		}

		@Override
		public HttpHeaders newEmptyHeaders() {
			return new CompactHeaders();
		}

	}

	/**
	 * The position of one field after the other.
	 */
	private final class Field {

		private int start;

		private int nameLength;

		private int valueLength;

		private int nameStart;

		private int end;

		/**
		 * Moves to the next field.
		 * @return whether there is one
		 */
		private boolean next() {
			this.start = this.end;
			if (this.start >= CompactHeaders.this.length) {
				return false;
			}
			this.nameStart = this.start;
			this.nameLength = takeLength();
			this.valueLength = takeLength();
			this.end = this.nameStart + this.nameLength + this.valueLength;
			return true;
		}

		private int takeLength() {
			int taken = 0;
			int shift = 0;
			int next = CompactHeaders.this.fields[this.nameStart++];
			while (next < 0) {
				taken |= (next & LENGTH_MASK) << shift;
				shift += LENGTH_BITS;
				next = CompactHeaders.this.fields[this.nameStart++];
			}
			return taken | next << shift;
		}

		private boolean named(CharSequence name) {
			if (name.length() != this.nameLength) {
				return false;
			}
			for (int index = 0; index < this.nameLength; index++) {
				char expected = name.charAt(index);
				int found = CompactHeaders.this.fields[this.nameStart + index] & MAX_LATIN_1;
				if (expected != found && lowerCase(expected) != lowerCase(found)) {
					return false;
				}
			}
			return true;
		}

		private static int lowerCase(int character) {
			return (character >= 'A' && character <= 'Z') ? character | 0x20 : character;
		}

		private String name() {
			return new String(CompactHeaders.this.fields, this.nameStart, this.nameLength, StandardCharsets.ISO_8859_1);
		}

		private String value() {
			return new String(CompactHeaders.this.fields, this.nameStart + this.nameLength, this.valueLength,
					StandardCharsets.ISO_8859_1);
		}

		private AsciiString nameCharacters() {
			return new AsciiString(CompactHeaders.this.fields, this.nameStart, this.nameLength, false);
		}

		private AsciiString valueCharacters() {
			return new AsciiString(CompactHeaders.this.fields, this.nameStart + this.nameLength, this.valueLength,
					false);
		}

	}

	/**
	 * Iterates over the fields.
	 *
	 * @param <T> what becomes of a field
	 */
	private final class FieldIterator<T> implements Iterator<T> {

		private final Function<Field, T> view;

		private final Field field = new Field();

		private boolean available;

		private FieldIterator(Function<Field, T> view) {
			this.view = view;
			this.available = this.field.next();
		}

		@Override
		public boolean hasNext() {
			return this.available;
		}

		@Override
		public T next() {
			if (!this.available) {
				throw new NoSuchElementException();
			}
			T viewed = this.view.apply(this.field);
			this.available = this.field.next();
			return viewed;
		}

	}

}
