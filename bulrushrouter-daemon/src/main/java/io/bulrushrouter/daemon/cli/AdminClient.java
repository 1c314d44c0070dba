package io.bulrushrouter.daemon.cli;

import java.io.IOException;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletionException;

import org.asynchttpclient.AsyncHttpClient;
import org.asynchttpclient.Dsl;
import org.asynchttpclient.RequestBuilder;
import org.asynchttpclient.Response;

import io.bulrushrouter.daemon.admin.AdminApi;
import io.bulrushrouter.kernel.BulrushException;
import io.bulrushrouter.kernel.ErrorCode;

/**
 * Blocking client of the administration API.
 */
final class AdminClient {

	private static final Duration TIMEOUT = Duration.ofSeconds(30);

	private static final int FIRST_ERROR_STATUS = 400;

	private AdminClient() {
	}

	static Reply call(String entry, String key, String method, String path, Map<String, String> headers, byte[] body) {
		RequestBuilder request = new RequestBuilder(method).setUrl(entry + AdminApi.PREFIX + path)
			.setHeader("Authorization", "Bearer " + key)
			.setRequestTimeout(TIMEOUT);
		headers.forEach(request::setHeader);
		if (body.length > 0) {
			request.setBody(body);
		}
		try (AsyncHttpClient client = Dsl.asyncHttpClient(Dsl.config().setMaxRequestRetry(0))) {
			Response response = client.executeRequest(request.build()).toCompletableFuture().join();
			return new Reply(response.getStatusCode(), Optional.ofNullable(response.getHeader("ETag")),
					response.getResponseBodyAsBytes());
		}
		catch (CompletionException | IOException ex) {
			throw new BulrushException(ErrorCode.CONNECTION_LOST, "no response from " + entry + ": " + ex.getMessage(),
					ex);
		}
	}

	/**
	 * A response of the administration API.
	 *
	 * @param status the HTTP status
	 * @param version the object's version, if it has one
	 * @param body the response body
	 */
	record Reply(int status, Optional<String> version, byte[] body) {

		boolean isSuccess() {
			return this.status < FIRST_ERROR_STATUS;
		}

	}

}
