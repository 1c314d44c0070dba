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
 * Reloads the settings when the file changes or on request. If the new settings are
 * invalid, the current ones stay in use.
 *
 * @param <T> the type of the settings
 */
final class SettingsWatcher<T> implements AutoCloseable {

	private static final Logger logger = LoggerFactory.getLogger(SettingsWatcher.class);

	/** Interval between two checks of the file's modification time. */
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

	private SettingsWatcher(Path file, Function<Settings, T> parser, T current, Consumer<T> listener) {
		this.file = file;
		this.parser = parser;
		this.current = current;
		this.listener = listener;
		this.modified = modified();
	}

	static <T> SettingsWatcher<T> of(Path file, Function<Settings, T> parser, T current, Consumer<T> listener) {
		SettingsWatcher<T> watcher = new SettingsWatcher<>(file, parser, current, listener);
		watcher.executor.scheduleWithFixedDelay(watcher::poll, POLL_INTERVAL_SECONDS, POLL_INTERVAL_SECONDS,
				TimeUnit.SECONDS);
		return watcher;
	}

	/**
	 * Reloads the settings.
	 */
	void reload() {
		this.executor.execute(this::read);
	}

	private void poll() {
		FileTime lastModified = modified();
		if (!lastModified.equals(this.modified)) {
			this.modified = lastModified;
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
			T settings = this.parser.apply(Settings.ofFile(this.file));
			boolean different = !settings.equals(this.current);
			logger.info("event=settings-read changed={}", different);
			if (different) {
				this.current = settings;
				this.listener.accept(settings);
			}
		}
		catch (BulrushException ex) {
			logger.error("event=settings-rejected code={} detail=\"{}\"", ex.code().text(), ex.getMessage());
		}
	}

	@Override
	public void close() {
		this.executor.shutdownNow();
	}

}
