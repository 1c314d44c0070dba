package io.bulrushrouter.gateway.forward;

import java.util.OptionalDouble;

import io.netty.handler.codec.http.HttpResponse;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.bulrushrouter.gateway.source.HeaderNames;
import io.bulrushrouter.gateway.upstream.UpstreamNotice;

/**
 * Decodes from the head of a response what the upstream says about itself.
 */
final class UpstreamNoticeDecoder {

	private static final Logger logger = LoggerFactory.getLogger(UpstreamNoticeDecoder.class);

	private static final String LEAVING = "1";

	private final HeaderNames names;

	UpstreamNoticeDecoder(HeaderNames names) {
		this.names = names;
	}

	UpstreamNotice decode(HttpResponse head) {
		return new UpstreamNotice(LEAVING.equals(head.headers().get(this.names.leaving())),
				number(head, this.names.limit()));
	}

	private static OptionalDouble number(HttpResponse head, String header) {
		String text = head.headers().get(header);
		if (text == null) {
			return OptionalDouble.empty();
		}
		try {
			double value = Double.parseDouble(text.strip());
			if (value >= 0) {
				return OptionalDouble.of(value);
			}
		}
		catch (NumberFormatException ex) {
			// Logged below, as is a negative number.
		}
		logger.warn("event=header-ignored header={} value=\"{}\" reason=\"not a number of 0 or more\"", header, text);
		return OptionalDouble.empty();
	}

}
