package io.bulrushrouter.launcher;

import java.util.ArrayList;
import java.util.List;

/**
 * A process that runs out of memory on a thread whose end leaves it alive.
 */
public final class MemoryHog {

	private MemoryHog() {
	}

	/**
	 * Takes memory until none is left.
	 * @param args not used
	 * @throws InterruptedException if the thread is interrupted
	 */
	public static void main(String[] args) throws InterruptedException {
		Thread hog = new Thread(MemoryHog::takeMemory);
		hog.start();
		Thread.currentThread().join();
	}

	private static void takeMemory() {
		List<byte[]> held = new ArrayList<>();
		while (held.size() < Integer.MAX_VALUE) {
			held.add(new byte[1 << 20]);
		}
	}

}
