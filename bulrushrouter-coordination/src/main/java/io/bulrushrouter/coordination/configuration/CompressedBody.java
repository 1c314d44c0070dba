package io.bulrushrouter.coordination.configuration;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.Optional;
import java.util.zip.GZIPInputStream;
import java.util.zip.GZIPOutputStream;

/**
 * The gzip format in which a configuration is stored and sent.
 */
public final class CompressedBody {

	/** The maximum size of decompressed content, in bytes. */
	public static final int MAX_CONTENT_BYTES = 8_000_000;

	private CompressedBody() {
	}

	/**
	 * Compresses a configuration.
	 * @param content the content
	 * @return the compressed body
	 */
	public static byte[] compress(byte[] content) {
		ByteArrayOutputStream body = new ByteArrayOutputStream();
		try (GZIPOutputStream gzip = new GZIPOutputStream(body)) {
			gzip.write(content);
		}
		catch (IOException ex) {
			throw new IllegalStateException("in-memory gzip compression failed", ex);
		}
		return body.toByteArray();
	}

	/**
	 * Decompresses a body.
	 * @param body the compressed body
	 * @return the content, or empty if the body is corrupt or its content exceeds
	 * {@link #MAX_CONTENT_BYTES}
	 */
	public static Optional<byte[]> decompress(byte[] body) {
		try (GZIPInputStream gzip = new GZIPInputStream(new ByteArrayInputStream(body))) {
			byte[] content = gzip.readNBytes(MAX_CONTENT_BYTES + 1);
			return Optional.of(content).filter((whole) -> whole.length <= MAX_CONTENT_BYTES);
		}
		catch (IOException ex) {
			return Optional.empty();
		}
	}

}
