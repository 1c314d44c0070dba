package io.bulrushrouter.http;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.util.Map;

import io.netty.channel.EventLoopGroup;
import org.asynchttpclient.AsyncHttpClient;
import org.asynchttpclient.DefaultAsyncHttpClient;
import org.asynchttpclient.DefaultAsyncHttpClientConfig;
import org.asynchttpclient.RequestBuilder;

import io.bulrushrouter.http.grammar.MessageGuard;

/**
 * An HTTP client that streams responses. It never retries a request by itself and does
 * not follow redirects.
 */
public final class StreamingHttpClient implements AutoCloseable {

	private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);

	private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(20);

	private static final Duration NO_TIMEOUT = Duration.ofMillis(-1);

	private final AsyncHttpClient client;

	private StreamingHttpClient(AsyncHttpClient client) {
		this.client = client;
	}

	/**
	 * Creates a client.
	 * @param group the event loops to run on, which are not closed with the client
	 * @return the client
	 */
	public static StreamingHttpClient of(EventLoopGroup group) {
		var config = new DefaultAsyncHttpClientConfig.Builder().setEventLoopGroup(group)
			.setMaxRequestRetry(0)
			.setDisableUrlEncodingForBoundRequests(true)
			.setFollowRedirect(false)
			.setConnectTimeout(CONNECT_TIMEOUT)
			.setPooledConnectionIdleTimeout(IDLE_TIMEOUT)
			.setRequestTimeout(NO_TIMEOUT)
			.setReadTimeout(NO_TIMEOUT)
			.setHttpAdditionalChannelInitializer((channel) -> channel.pipeline().addFirst(MessageGuard.ofResponses()))
			.build();
		return new StreamingHttpClient(new DefaultAsyncHttpClient(config));
	}

	/**
	 * Sends a request.
	 * @param method the HTTP method
	 * @param url the URL
	 * @param headers the headers
	 * @param body the body, or an empty array to send none
	 * @param listener receives the response on an event loop thread
	 * @return the call in flight, which can be cancelled
	 */
	public HttpCall send(String method, String url, Map<String, String> headers, byte[] body,
			HttpResponseListener listener) {
		RequestBuilder request = new RequestBuilder(method).setUrl(url);
		headers.forEach(request::setHeader);
		if (body.length > 0) {
			request.setBody(body);
		}
		HttpCall call = new HttpCall(listener);
		this.client.executeRequest(request.build(), call);
		return call;
	}

	@Override
	public void close() {
		try {
			this.client.close();
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

}
