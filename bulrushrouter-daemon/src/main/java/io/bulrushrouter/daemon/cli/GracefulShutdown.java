package io.bulrushrouter.daemon.cli;

import java.util.concurrent.CountDownLatch;

/**
 * Keeps a daemon running until the process receives a termination signal, and then drains
 * it before the process exits.
 */
final class GracefulShutdown {

	private GracefulShutdown() {
	}

	/**
	 * Blocks until the process receives a termination signal, then drains the daemon.
	 * @param drain completes the work in flight; it may take any length of time, because
	 * the process does not exit before it returns
	 * @return the exit code
	 */
	static int awaitSignal(Runnable drain) {
		CountDownLatch signalled = new CountDownLatch(1);
		CountDownLatch drained = new CountDownLatch(1);
		Runtime.getRuntime().addShutdownHook(new Thread(() -> {
			signalled.countDown();
			await(drained);
		}, "shutdown"));
		await(signalled);
		drain.run();
		drained.countDown();
		return ExitCode.DONE;
	}

	private static void await(CountDownLatch latch) {
		try {
			latch.await();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
