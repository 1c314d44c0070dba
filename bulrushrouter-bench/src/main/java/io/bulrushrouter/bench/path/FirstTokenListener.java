package io.bulrushrouter.bench.path;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import org.HdrHistogram.Histogram;

import io.bulrushrouter.http.HttpResponseHead;
import io.bulrushrouter.http.HttpResponseListener;

/**
 * Records the time to the first part of a response, in microseconds.
 */
final class FirstTokenListener implements HttpResponseListener {

	private final long startNanos = System.nanoTime();

	private final Histogram histogram;

	private final CountDownLatch done;

	private boolean awaitingFirstToken = true;

	FirstTokenListener(Histogram histogram, CountDownLatch done) {
		this.histogram = histogram;
		this.done = done;
	}

	@Override
	public void head(HttpResponseHead head) {
		if (head.status() != 200) {
			throw new IllegalStateException("unexpected status " + head.status());
		}
	}

	@Override
	public void part(byte[] bytes) {
		if (this.awaitingFirstToken) {
			this.awaitingFirstToken = false;
			this.histogram.recordValue(TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - this.startNanos));
		}
	}

	@Override
	public void end() {
		this.done.countDown();
	}

	@Override
	public void failed(boolean mayHaveArrived, Throwable cause) {
		System.err.println("response failed: " + cause);
	}

}
