package io.bulrushrouter.daemon.sidecar;

import java.io.ByteArrayOutputStream;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.function.Consumer;

import io.bulrushrouter.http.HttpResponseHead;
import io.bulrushrouter.http.HttpResponseListener;
import io.bulrushrouter.http.StreamingHttpClient;

/**
 * Sends orders to the upstream's engine over HTTP.
 *
 * @param httpClient the HTTP client
 * @param url the engine's address
 */
record EngineOrderClient(StreamingHttpClient httpClient, URI url) {

	private static final String PATH = "/v1/orders";

	private static final int OK = 200;

	private static final int CONFLICT = 409;

	/**
	 * Orders the engine to unload all models. The order is idempotent.
	 * @param fence the fencing token of the lease holder that gives the order
	 * @param consumer receives the result, on a network thread
	 */
	void unload(long fence, Consumer<OrderHandler.Result> consumer) {
		byte[] body = ("{\"kind\":\"unload\",\"model\":\"*\",\"fence\":" + fence + "}")
			.getBytes(StandardCharsets.UTF_8);
		this.httpClient.send("POST", "http://" + this.url.getAuthority() + PATH,
				Map.of("Content-Type", "application/json"), body, new Listener(consumer));
	}

	private static final class Listener implements HttpResponseListener {

		private final Consumer<OrderHandler.Result> consumer;

		private final ByteArrayOutputStream body = new ByteArrayOutputStream();

		private int status;

		private Listener(Consumer<OrderHandler.Result> consumer) {
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
			String text = this.body.toString(StandardCharsets.UTF_8);
			if (this.status == CONFLICT) {
				this.consumer.accept(new OrderHandler.Result("fenced", text));
			}
			else if (this.status == OK && text.equals("[]")) {
				this.consumer.accept(new OrderHandler.Result("done", ""));
			}
			else {
				this.consumer.accept(new OrderHandler.Result("refused", this.status + " " + text));
			}
		}

		@Override
		public void failed(boolean mayHaveArrived, Throwable cause) {
			this.consumer.accept(new OrderHandler.Result("unknown", cause.toString()));
		}

	}

}
