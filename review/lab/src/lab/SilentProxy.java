package lab;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;

/** A proxy whose open channels can go silent for good, without a reset, while new ones work. */
final class SilentProxy {

	private static final class Link {

		private volatile boolean silent;

	}

	private final ServerSocket server = new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1"));

	private final List<Link> links = new ArrayList<>();

	SilentProxy(int target) throws IOException {
		Lab.daemon("proxy", () -> {
			while (true) {
				Socket near = this.server.accept();
				Socket far = new Socket("127.0.0.1", target);
				near.setTcpNoDelay(true);
				far.setTcpNoDelay(true);
				Link link = new Link();
				synchronized (this.links) {
					this.links.add(link);
				}
				Lab.daemon("proxy-there", () -> pump(link, near, far));
				Lab.daemon("proxy-back", () -> pump(link, far, near));
			}
		});
	}

	int port() {
		return this.server.getLocalPort();
	}

	/** Silences all open channels. */
	int silence() {
		synchronized (this.links) {
			this.links.forEach((link) -> link.silent = true);
			return this.links.size();
		}
	}

	private static void pump(Link link, Socket from, Socket to) {
		byte[] buffer = new byte[8_192];
		try {
			InputStream in = from.getInputStream();
			int count = in.read(buffer);
			while (count >= 0) {
				if (!link.silent) {
					to.getOutputStream().write(buffer, 0, count);
				}
				count = in.read(buffer);
			}
			if (!link.silent) {
				to.close();
			}
		}
		catch (IOException ex) {
			try {
				if (!link.silent) {
					to.close();
					from.close();
				}
			}
			catch (IOException ignored) {
				// Closed already.
			}
		}
	}

}
