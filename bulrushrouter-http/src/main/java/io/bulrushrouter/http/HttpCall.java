package io.bulrushrouter.http;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import io.netty.channel.Channel;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import org.asynchttpclient.AsyncHandler;
import org.asynchttpclient.HttpResponseBodyPart;
import org.asynchttpclient.HttpResponseStatus;
import org.asynchttpclient.netty.request.NettyRequest;

/**
 * A request of {@link StreamingHttpClient} that is in flight.
 */
public final class HttpCall implements AsyncHandler<Void> {

	private final HttpResponseListener listener;

	private volatile boolean sent;

	private volatile boolean cancelled;

	private volatile Channel channel;

	private int status;

	private boolean finished;

	HttpCall(HttpResponseListener listener) {
		this.listener = listener;
	}

	/**
	 * Cancels the call and closes its connection. The listener is not called any more,
	 * apart from a call that is running at this moment.
	 */
	public void cancel() {
		this.cancelled = true;
		Optional.ofNullable(this.channel).ifPresent(Channel::close);
	}

	@Override
	public void onTcpConnectSuccess(InetSocketAddress remoteAddress, Channel connection) {
		attach(connection);
	}

	@Override
	public void onConnectionPooled(Channel connection) {
		attach(connection);
	}

	@Override
	public void onConnectionOffer(Channel connection) {
		this.channel = null;
	}

	private void attach(Channel connection) {
		this.channel = connection;
		if (this.cancelled) {
			connection.close();
		}
	}

	@Override
	public void onRequestSend(NettyRequest request) {
		this.sent = true;
	}

	@Override
	public State onStatusReceived(HttpResponseStatus responseStatus) {
		this.status = responseStatus.getStatusCode();
		return nextState();
	}

	@Override
	public State onHeadersReceived(HttpHeaders headers) {
		if (!this.cancelled) {
			Map<String, String> byName = new HashMap<>();
			headers.forEach((header) -> byName.put(header.getKey(), header.getValue()));
			this.listener
				.head(new HttpResponseHead(this.status, headers.get(HttpHeaderNames.CONTENT_TYPE, ""), byName));
		}
		return nextState();
	}

	@Override
	public State onBodyPartReceived(HttpResponseBodyPart bodyPart) {
		byte[] bytes = bodyPart.getBodyPartBytes();
		if (!this.cancelled && bytes.length > 0) {
			this.listener.part(bytes);
		}
		return nextState();
	}

	private State nextState() {
		return this.cancelled ? State.ABORT : State.CONTINUE;
	}

	@Override
	public Void onCompleted() {
		if (!this.cancelled && !this.finished) {
			this.finished = true;
			this.listener.end();
		}
		return null;
	}

	@Override
	public void onThrowable(Throwable cause) {
		if (!this.cancelled && !this.finished) {
			this.finished = true;
			this.listener.failed(this.sent, cause);
		}
	}

}
