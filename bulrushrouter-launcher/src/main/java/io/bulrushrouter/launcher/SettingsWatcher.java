package io.bulrushrouter.launcher;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.FileTime;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.bulrushrouter.kernel.BulrushException;
import io.bulrushrouter.kernel.settings.Settings;

/**
 * Reads the settings again when the file changes or a signal asks for it. Settings that
 * cannot be read leave those in use as they are.
 *
 * @param <T> the settings
 */
final class SettingsWatcher<T> implements AutoCloseable {

	private static final Logger logger = LoggerFactory.getLogger(SettingsWatcher.class);

	/** How often the file is looked at. */
	private static final long POLL_INTERVAL_SECONDS = 5;

	private final Path file;

	private final Function<Settings, T> parser;

	private final Consumer<T> listener;

	private final ScheduledExecutorService executor = Executors.newSingleThreadScheduledExecutor((task) -> {
		Thread thread = new Thread(task, "settings");
		thread.setDaemon(true);
		return thread;
	});

	private T current;

	private FileTime modified;

	private SettingsWatcher(Path file, Function<Settings, T> parser, T current, Consumer<T> changed) {
		this.file = file;
		this.parser = parser;
		this.current = current;
		this.listener = changed;
		this.modified = modified();
	}

	static <T> SettingsWatcher<T> of(Path file, Function<Settings, T> parser, T current, Consumer<T> changed) {
		SettingsWatcher<T> watch = new SettingsWatcher<>(file, parser, current, changed);
		watch.executor.scheduleWithFixedDelay(watch::poll, POLL_INTERVAL_SECONDS, POLL_INTERVAL_SECONDS,
				TimeUnit.SECONDS);
		return watch;
	}

	/**
	 * Reads the settings again.
	 */
	void reload() {
		this.executor.execute(this::read);
	}

	private void poll() {
		FileTime now = modified();
		if (!now.equals(this.modified)) {
			this.modified = now;
			read();
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

	private void read() {
		try {
			T read = this.parser.apply(Settings.ofFile(this.file));
			boolean different = !read.equals(this.current);
			logger.info("event=settings-read changed={}", different);
			if (different) {
				this.current = read;
				this.listener.accept(read);
			}
		}
		catch (BulrushException ex) {
			logger.error("event=settings-kept code={} detail=\"{}\"", ex.code().text(), ex.getMessage());
		}
	}

	@Override
	public void close() {
		this.executor.shutdownNow();
	}

}
