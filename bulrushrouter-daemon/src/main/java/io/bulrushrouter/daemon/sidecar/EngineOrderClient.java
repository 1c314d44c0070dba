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
 * Gives orders to the upstream's engine over HTTP.
 *
 * @param caller sends requests
 * @param url the engine's address
 */
record EngineOrderClient(StreamingHttpClient caller, URI url) {

	private static final String PATH = "/v1/orders";

	private static final int OK = 200;

	private static final int CONFLICT = 409;

	/**
	 * Lets the engine drop all models. Doing it twice has no further effect.
	 * @param fence the fencing number of the one who orders
	 * @param consumer takes the result, on a network thread
	 */
	void unload(long fence, Consumer<OrderDesk.Result> consumer) {
		byte[] body = ("{\"kind\":\"unload\",\"model\":\"*\",\"fence\":" + fence + "}")
			.getBytes(StandardCharsets.UTF_8);
		this.caller.send("POST", "http://" + this.url.getAuthority() + PATH, Map.of("Content-Type", "application/json"),
				body, new Listener(consumer));
	}

	private static final class Listener implements HttpResponseListener {

		private final Consumer<OrderDesk.Result> consumer;

		private final ByteArrayOutputStream body = new ByteArrayOutputStream();

		private int status;

		private Listener(Consumer<OrderDesk.Result> consumer) {
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
				this.consumer.accept(new OrderDesk.Result("fenced", text));
			}
			else if (this.status == OK && text.equals("[]")) {
				this.consumer.accept(new OrderDesk.Result("done", ""));
			}
			else {
				this.consumer.accept(new OrderDesk.Result("refused", this.status + " " + text));
			}
		}

		@Override
		public void failed(boolean mayHaveArrived, Throwable cause) {
			this.consumer.accept(new OrderDesk.Result("unknown", cause.toString()));
		}

	}

}
