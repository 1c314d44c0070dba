package io.bulrushrouter.daemon.cli;

import java.util.concurrent.CountDownLatch;

/**
 * Keeps a daemon running until the process is told to end, and then ends it gracefully.
 */
final class GracefulShutdown {

	private GracefulShutdown() {
	}

	/**
	 * Waits for a signal to end.
	 * @param drain finishes the work in flight, however long it takes
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
