package io.bulrushrouter.daemon.sidecar;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.Optional;
import java.util.function.Consumer;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

import io.bulrushrouter.http.HttpListener;

/**
 * Takes an engine's load report.
 */
final class LoadListener implements HttpListener {

	private static final ObjectMapper JSON = new ObjectMapper();

	private static final int OK = 200;

	private final Consumer<Optional<SidecarInput.EngineLoad>> consumer;

	private final ByteArrayOutputStream body = new ByteArrayOutputStream();

	private int status;

	LoadListener(Consumer<Optional<SidecarInput.EngineLoad>> consumer) {
		this.consumer = consumer;
	}

	@Override
	public void head(int headStatus, String contentType) {
		this.status = headStatus;
	}

	@Override
	public void part(byte[] bytes) {
		this.body.writeBytes(bytes);
	}

	@Override
	public void end() {
		this.consumer.accept((this.status == OK) ? parse() : Optional.empty());
	}

	private Optional<SidecarInput.EngineLoad> parse() {
		try {
			JsonNode report = JSON.readTree(this.body.toByteArray());
			return Optional
				.of(new SidecarInput.EngineLoad(report.path("queuedTokens").asLong(), report.path("running").asInt()));
		}
		catch (IOException ex) {
			return Optional.empty();
		}
	}

	@Override
	public void failed(boolean mayHaveArrived, Throwable cause) {
		this.consumer.accept(Optional.empty());
	}

}
