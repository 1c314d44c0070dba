package io.bulrushrouter.daemon.sidecar;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

import io.bulrushrouter.http.HttpResponseHead;
import io.bulrushrouter.http.HttpResponseListener;

/**
 * Receives the response to a health probe of the upstream and, from an engine, its load.
 */
final class ProbeListener implements HttpResponseListener {

	private static final ObjectMapper JSON = new ObjectMapper();

	private static final int OK = 200;

	private final ResultConsumer consumer;

	private final ByteArrayOutputStream body = new ByteArrayOutputStream();

	private int status;

	ProbeListener(ResultConsumer consumer) {
		this.consumer = consumer;
	}

	@Override
	public void head(HttpResponseHead head) {
		this.status = head.status();
	}

	@Override
	public void part(byte[] bytes) {
		this.body.writeBytes(bytes);
	}

	@Override
	public void end() {
		this.consumer.accept(this.status == OK, (this.status == OK) ? parse() : Optional.empty());
	}

	private Optional<SidecarInput.EngineLoadReported> parse() {
		try {
			JsonNode report = JSON.readTree(this.body.toByteArray());
			return Optional.of(new SidecarInput.EngineLoadReported(report.path("kvUse").asDouble()));
		}
		catch (IOException ex) {
			return Optional.empty();
		}
	}

	@Override
	public void failed(boolean mayHaveArrived, Throwable cause) {
		this.consumer.accept(false, Optional.empty());
	}

	/**
	 * Receives the result of a probe.
	 */
	@FunctionalInterface
	interface ResultConsumer {

		/**
		 * Receives the result.
		 * @param healthy whether the upstream answered with status 200
		 * @param load the upstream's load, if reported
		 */
		void accept(boolean healthy, Optional<SidecarInput.EngineLoadReported> load);

	}

}
