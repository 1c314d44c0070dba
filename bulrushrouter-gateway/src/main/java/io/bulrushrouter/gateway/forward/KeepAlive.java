package io.bulrushrouter.gateway.forward;

import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import io.netty.handler.codec.http.HttpResponse;

/**
 * Derives from a response how long its connection may stay idle in the pool.
 */
final class KeepAlive {

	private static final Pattern TIMEOUT_PARAMETER = Pattern.compile("timeout=(\\d{1,6})");

	/**
	 * Used if the response has no timeout; shorter than the idle timeout of any known
	 * upstream.
	 */
	private static final long DEFAULT_IDLE_LIMIT_NANOS = TimeUnit.SECONDS.toNanos(2);

	/**
	 * Subtracted from the timeout of the upstream: the timeout is rounded to seconds, and
	 * timers fire late.
	 */
	private static final long SAFETY_MARGIN_NANOS = TimeUnit.MILLISECONDS.toNanos(700);

	private KeepAlive() {
	}

	static long idleLimitNanos(HttpResponse head) {
		String value = head.headers().get("Keep-Alive");
		if (value == null) {
			return DEFAULT_IDLE_LIMIT_NANOS;
		}
		Matcher matcher = TIMEOUT_PARAMETER.matcher(value);
		if (!matcher.find()) {
			return DEFAULT_IDLE_LIMIT_NANOS;
		}
		return Math.max(0, TimeUnit.SECONDS.toNanos(Long.parseLong(matcher.group(1))) - SAFETY_MARGIN_NANOS);
	}

}
