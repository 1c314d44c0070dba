package io.bulrushrouter.edge;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.FileTime;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import sun.misc.Signal;

import io.bulrushrouter.gateway.node.Gateway;
import io.bulrushrouter.gateway.node.GatewaySettings;
import io.bulrushrouter.kernel.BulrushException;
import io.bulrushrouter.kernel.settings.Settings;

/**
 * What the process does when it is told to stop or to read its settings again, by signal
 * or by a changed file.
 */
final class Signals implements AutoCloseable {

	private static final Logger logger = LoggerFactory.getLogger(Signals.class);

	/** How often the settings file is looked at. */
	private static final long LOOK_SECONDS = 5;

	private final Gateway gateway;

	private final Path file;

	private final ScheduledExecutorService watcher = Executors.newSingleThreadScheduledExecutor((task) -> {
		Thread thread = new Thread(task, "settings");
		thread.setDaemon(true);
		return thread;
	});

	private GatewaySettings current;

	private FileTime modified;

	private Signals(Gateway gateway, Path file) {
		this.gateway = gateway;
		this.file = file;
	}

	static Signals handle(Gateway gateway, Path file) {
		Signals signals = new Signals(gateway, file);
		Signal.handle(new Signal("TERM"), (signal) -> gateway.stop());
		Signal.handle(new Signal("INT"), (signal) -> gateway.stop());
		Signal.handle(new Signal("HUP"), (signal) -> signals.watcher.execute(signals::reload));
		return signals;
	}

	void watch(GatewaySettings settings) {
		this.current = settings;
		this.modified = modified();
		this.watcher.scheduleWithFixedDelay(this::look, LOOK_SECONDS, LOOK_SECONDS, TimeUnit.SECONDS);
	}

	private void look() {
		FileTime now = modified();
		if (!now.equals(this.modified)) {
			this.modified = now;
			reload();
		}
	}

	private FileTime modified() {
		try {
			return Files.getLastModifiedTime(this.file);
		}
		catch (IOException ex) {
			logger.warn("event=settings-unreadable file={} reason=\"{}\"", this.file, ex.toString());
			return FileTime.fromMillis(0);
		}
	}

	private void reload() {
		try {
			GatewaySettings read = GatewaySettings.of(Settings.ofFile(this.file));
			boolean changed = !read.equals(this.current);
			logger.info("event=settings-reloaded changed={}", changed);
			if (changed) {
				this.gateway.reload(read);
				this.current = read;
			}
		}
		catch (BulrushException ex) {
			logger.error("event=settings-kept code={} detail=\"{}\"", ex.code().text(), ex.getMessage());
		}
	}

	@Override
	public void close() {
		this.watcher.shutdownNow();
	}

}
