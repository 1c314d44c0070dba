package io.bulrushrouter.daemon.spread;

import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import io.bulrushrouter.coordination.configuration.ConfigurationMessage;
import io.bulrushrouter.wire.ControlCodec;
import io.bulrushrouter.wire.WireMessage;

/**
 * Converts messages about configurations to control messages and back.
 */
final class ConfigurationMessageCodec {

	private static final String PREFIX = "configuration/";

	private static final Map<String, Class<? extends Record>> TYPES = Stream
		.<Class<? extends Record>>of(ConfigurationMessage.Digest.class, ConfigurationMessage.Request.class,
				ConfigurationMessage.Document.class, ConfigurationMessage.Status.class,
				ConfigurationMessage.StatusQuery.class, ConfigurationMessage.StatusReport.class)
		.collect(Collectors.toMap((type) -> PREFIX + type.getSimpleName(), Function.identity()));

	private ConfigurationMessageCodec() {
	}

	static WireMessage.Control encode(ConfigurationMessage message) {
		return ControlCodec.encode(PREFIX + message.getClass().getSimpleName(), (Record) message);
	}

	static Optional<ConfigurationMessage> decode(WireMessage.Control control) {
		return Optional.ofNullable(TYPES.get(control.topic()))
			.map((type) -> (ConfigurationMessage) ControlCodec.decode(control, type));
	}

}
