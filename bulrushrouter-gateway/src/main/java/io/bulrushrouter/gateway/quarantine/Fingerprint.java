package io.bulrushrouter.gateway.quarantine;

import java.util.ArrayList;
import java.util.List;

/**
 * Something that requests may have in common and that may be the reason why they crash
 * their upstreams.
 *
 * @param text the kind and the value, such as {@code part:5c1e07a2} or
 * {@code request:90ab12cd34ef5678}
 */
public record Fingerprint(String text) {

	private static final String PART_PREFIX = "part:";

	private static final String REQUEST_PREFIX = "request:";

	/** Limit of the parts of a prompt that are considered, from the first on. */
	static final int MAX_PARTS = 64;

	/** Limit of the characters of a part's identifier that are considered. */
	private static final int MAX_IDENTIFIER_LENGTH = 64;

	/**
	 * Returns the fingerprint of a part of a prompt.
	 * @param identifier the identifier of the part
	 * @return the fingerprint
	 */
	public static Fingerprint ofPart(String identifier) {
		return new Fingerprint(
				PART_PREFIX + identifier.substring(0, Math.min(identifier.length(), MAX_IDENTIFIER_LENGTH)));
	}

	/**
	 * Returns the fingerprint of a request as a whole.
	 * @param digest the digest by which it is recognised when it comes again
	 * @return the fingerprint
	 */
	public static Fingerprint ofRequest(String digest) {
		return new Fingerprint(REQUEST_PREFIX + digest);
	}

	/**
	 * Returns whether this is the fingerprint of a request as a whole. Such a request is
	 * hardly running at several crashes by chance.
	 * @return whether only repeats of one request share it
	 */
	boolean identifiesRequest() {
		return this.text.startsWith(REQUEST_PREFIX);
	}

	/**
	 * Returns the fingerprints of the parts of a prompt that requests may share: all but
	 * the last one, which is the request's own.
	 * @param parts the parts in their order, separated by commas, each as its identifier
	 * and its number of tokens, separated by a colon
	 * @return the fingerprints of the first parts
	 */
	public static List<Fingerprint> ofSharedParts(String parts) {
		List<Fingerprint> fingerprints = new ArrayList<>();
		int start = 0;
		int end = parts.indexOf(',');
		while (end >= 0 && fingerprints.size() < MAX_PARTS) {
			int colon = parts.indexOf(':', start);
			int identifierEnd = (colon >= 0 && colon < end) ? colon : end;
			fingerprints.add(ofPart(parts.substring(start, identifierEnd).strip()));
			start = end + 1;
			end = parts.indexOf(',', start);
		}
		return fingerprints;
	}

}
