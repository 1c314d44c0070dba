import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;

/**
 * Entries of a small deployment, each at a loopback address of its own. The platform
 * starts a process that has ended again after a short delay.
 */
final class Deployment implements AutoCloseable {

	private static final long RESTART_MILLIS = 500;

	private final List<Program> entries = new ArrayList<>();

	private final List<InetSocketAddress> callers = new ArrayList<>();

	private final List<InetSocketAddress> readiness = new ArrayList<>();

	private final int[] exits;

	private final Record record;

	private ServerSocket lock;

	private volatile boolean closed;

	Deployment(Path root, Path folder, Store store, int count, Record record) throws IOException {
		this.record = record;
		this.exits = new int[count];
		int net = reserveNet();
		for (int index = 0; index < count; index++) {
			String ip = "127." + net + ".1." + (40 + index);
			int port = Program.freePort();
			int ready = Program.freePort();
			this.entries.add(Program.of("entry", root, folder, "entry-" + index,
					Program.entryFields("edge-a-" + index, ip, store.address(), port, ready)));
			this.callers.add(new InetSocketAddress(ip, port));
			this.readiness.add(new InetSocketAddress(ip, ready));
		}
	}

	// Two cases that run at the same time don't take the same addresses.
	private int reserveNet() throws IOException {
		for (int tries = 0; tries < 100; tries++) {
			int net = ThreadLocalRandom.current().nextInt(2, 250);
			try {
				this.lock = new ServerSocket();
				this.lock.bind(new InetSocketAddress("127." + net + ".1.1", 9_464));
				return net;
			}
			catch (IOException ex) {
				this.lock.close();
			}
		}
		throw new IOException("no loopback addresses are free");
	}

	/** Starts all entries and waits until they are ready. */
	boolean start() throws IOException, InterruptedException {
		for (Program entry : this.entries) {
			entry.start();
		}
		for (int tries = 0; tries < 150; tries++) {
			Thread.sleep(100);
			int ready = 0;
			for (int index = 0; index < this.entries.size(); index++) {
				ready += ready(index) ? 1 : 0;
			}
			if (ready == this.entries.size()) {
				Thread watcher = new Thread(this::restartEnded, "platform");
				watcher.setDaemon(true);
				watcher.start();
				return true;
			}
		}
		for (int index = 0; index < this.entries.size(); index++) {
			Program entry = this.entries.get(index);
			List<String> lines = Files.readAllLines(entry.log());
			this.record.result("entry " + index + (ready(index) ? " is ready" : " isn't ready")
					+ (entry.alive() ? "" : ", has ended with " + entry.exitCode()) + ": "
					+ lines.subList(Math.max(0, lines.size() - 3), lines.size()));
		}
		return false;
	}

	boolean ready(int index) {
		try {
			InetSocketAddress address = this.readiness.get(index);
			HttpURLConnection connection = (HttpURLConnection) URI
				.create("http://" + address.getHostString() + ":" + address.getPort() + "/readyz")
				.toURL()
				.openConnection();
			connection.setConnectTimeout(300);
			connection.setReadTimeout(300);
			return connection.getResponseCode() == 200;
		}
		catch (IOException ex) {
			return false;
		}
	}

	private void restartEnded() {
		try {
			while (!this.closed) {
				Thread.sleep(50);
				for (int index = 0; index < this.entries.size(); index++) {
					if (!this.closed && !this.entries.get(index).alive()) {
						this.exits[index]++;
						this.record.line("entry " + index + " has ended by itself, exit code "
								+ this.entries.get(index).exitCode() + "; it is started again");
						Thread.sleep(RESTART_MILLIS);
						this.entries.get(index).start();
					}
				}
			}
		}
		catch (InterruptedException | IOException ex) {
			this.record.line("the platform stand-in has ended: " + ex);
		}
	}

	/** How often each entry has ended by itself. */
	int[] exits() {
		return this.exits.clone();
	}

	InetSocketAddress callers(int index) {
		return this.callers.get(index % this.callers.size());
	}

	@Override
	public void close() throws InterruptedException, IOException {
		this.closed = true;
		Thread.sleep(RESTART_MILLIS + 200);
		for (Program entry : this.entries) {
			entry.kill();
		}
		this.lock.close();
	}

}
