package io.bulrushrouter.gateway.forward;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

import io.netty.handler.codec.http.HttpHeaderNames;

import io.bulrushrouter.gateway.source.HeaderNames;

/**
 * Digest by which a request is recognised when it comes again, though each attempt of its
 * caller has another identifier.
 */
final class RequestDigest {

	/** Limit of the body that is read, so that large bodies cost no more. */
	private static final int MAX_BODY_BYTES = 64 * 1024;

	/** Length of the digest: collisions are unlikely among the requests of hours. */
	private static final int DIGEST_BYTES = 8;

	private RequestDigest() {
	}

	/**
	 * Returns the digest of a request's method, host, target, caller and body.
	 * @param request the request
	 * @param names the names of the headers
	 * @return the digest in hexadecimal
	 */
	static String of(CallerRequest request, HeaderNames names) {
		MessageDigest digest = sha256();
		update(digest, request.head().method().name());
		update(digest, request.header(HttpHeaderNames.HOST.toString()));
		update(digest, request.head().uri());
		update(digest, request.header(names.key()));
		update(digest, Integer.toString(request.body().length));
		digest.update(request.body(), 0, Math.min(request.body().length, MAX_BODY_BYTES));
		return HexFormat.of().formatHex(digest.digest(), 0, DIGEST_BYTES);
	}

	private static void update(MessageDigest digest, String text) {
		if (text != null) {
			digest.update(text.getBytes(StandardCharsets.UTF_8));
		}
		digest.update((byte) '\n');
	}

	private static MessageDigest sha256() {
		try {
			return MessageDigest.getInstance("SHA-256");
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException("each JDK has SHA-256", ex);
		}
	}

}
