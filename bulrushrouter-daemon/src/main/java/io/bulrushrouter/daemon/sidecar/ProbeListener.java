package io.bulrushrouter.daemon.sidecar;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

import io.bulrushrouter.http.HttpResponseHead;
import io.bulrushrouter.http.HttpResponseListener;

/**
 * Takes the answer to a probe of the upstream: whether it lives and, from an engine, its
 * load.
 */
final class ProbeListener implements HttpResponseListener {

	private static final ObjectMapper JSON = new ObjectMapper();

	private static final int OK = 200;

	private final Outcome consumer;

	private final ByteArrayOutputStream body = new ByteArrayOutputStream();

	private int status;

	ProbeListener(Outcome consumer) {
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

	private Optional<SidecarInput.EngineLoad> parse() {
		try {
			JsonNode report = JSON.readTree(this.body.toByteArray());
			return Optional.of(new SidecarInput.EngineLoad(report.path("kvUse").asDouble()));
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
	 * Takes the outcome of a probe.
	 */
	@FunctionalInterface
	interface Outcome {

		/**
		 * Takes the outcome.
		 * @param answered whether the upstream answered well
		 * @param load its load, if it told it
		 */
		void accept(boolean answered, Optional<SidecarInput.EngineLoad> load);

	}

}
