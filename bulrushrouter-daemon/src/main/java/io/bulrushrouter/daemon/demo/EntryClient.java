package io.bulrushrouter.daemon.demo;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

import io.bulrushrouter.http.HttpCall;
import io.bulrushrouter.http.HttpResponseHead;
import io.bulrushrouter.http.HttpResponseListener;
import io.bulrushrouter.http.StreamingHttpClient;

/**
 * An HTTP client of an entry that authenticates with an organisation's or operator's key.
 *
 * @param http the HTTP client
 * @param base the entry's address
 * @param key the organisation's or operator's key
 */
public record EntryClient(StreamingHttpClient http, String base, String key) {

	/**
	 * Sends a request and collects the response.
	 * @param method the HTTP method
	 * @param path the path
	 * @param headers the headers other than the key
	 * @param body the request body
	 * @return the response, completed once it ended or failed
	 */
	public CompletableFuture<Response> send(String method, String path, Map<String, String> headers, String body) {
		Map<String, String> all = new LinkedHashMap<>(headers);
		all.put("Authorization", "Bearer " + this.key);
		all.putIfAbsent("Content-Type", "application/json");
		CompletableFuture<Response> answer = new CompletableFuture<>();
		this.http.send(method, this.base + path, all, body.getBytes(StandardCharsets.UTF_8),
				new ResponseCollector(answer));
		return answer;
	}

	/**
	 * Requests a streamed completion and collects the response.
	 * @param prompt the prompt
	 * @param tokens the number of tokens to generate
	 * @return the response, completed once it ended or failed
	 */
	public CompletableFuture<Response> stream(String prompt, int tokens) {
		return send("POST", "/v1/completions", Map.of(), completion(prompt, tokens, true));
	}

	/**
	 * Requests a streamed completion and passes the parts of the response to a listener.
	 * @param prompt the prompt
	 * @param tokens the number of tokens to generate
	 * @param listener receives the response
	 * @return the call in flight
	 */
	public HttpCall stream(String prompt, int tokens, HttpResponseListener listener) {
		Map<String, String> headers = Map.of("Authorization", "Bearer " + this.key, "Content-Type", "application/json");
		byte[] body = completion(prompt, tokens, true).getBytes(StandardCharsets.UTF_8);
		return this.http.send("POST", this.base + "/v1/completions", headers, body, listener);
	}

	/**
	 * Returns the request body of a completion.
	 * @param prompt the prompt; it must not contain characters that JSON escapes
	 * @param tokens the number of tokens to generate
	 * @param stream whether to stream the response
	 * @return the JSON text
	 */
	public static String completion(String prompt, int tokens, boolean stream) {
		return "{\"model\":\"" + Fleet.MODEL + "\",\"prompt\":\"" + prompt + "\",\"max_tokens\":" + tokens
				+ ",\"stream\":" + stream + "}";
	}

	/**
	 * A response as the caller received it.
	 *
	 * @param status the HTTP status; 0 if none was received
	 * @param body the part of the body that was received
	 * @param complete whether the response ended without a failure of the connection
	 */
	public record Response(int status, String body, boolean complete) {

		/**
		 * Returns the text of a streamed response.
		 * @return the concatenated tokens, without the enclosing events
		 */
		public String streamedText() {
			StringBuilder text = new StringBuilder();
			for (String event : this.body.split("\n\n")) {
				int start = event.indexOf("\"text\":\"");
				if (start >= 0) {
					int from = start + "\"text\":\"".length();
					text.append(event, from, event.indexOf('"', from));
				}
			}
			return text.toString();
		}

	}

	private static final class ResponseCollector implements HttpResponseListener {

		private final CompletableFuture<Response> answer;

		private final ByteArrayOutputStream body = new ByteArrayOutputStream();

		private int status;

		private ResponseCollector(CompletableFuture<Response> answer) {
			this.answer = answer;
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
			finish(true);
		}

		@Override
		public void failed(boolean mayHaveArrived, Throwable cause) {
			finish(false);
		}

		private void finish(boolean clean) {
			this.answer.complete(new Response(this.status, this.body.toString(StandardCharsets.UTF_8), clean));
		}

	}

}
