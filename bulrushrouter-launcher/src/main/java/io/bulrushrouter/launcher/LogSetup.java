package io.bulrushrouter.launcher;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import org.slf4j.LoggerFactory;

/**
 * Configures logging in code, as parsing a Logback configuration file takes more
 * processor time at startup than the rest of the logging.
 */
final class LogSetup implements AutoCloseable {

	private final AsyncJsonAppender appender;

	private LogSetup(AsyncJsonAppender appender) {
		this.appender = appender;
	}

	static LogSetup install() {
		LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
		context.reset();
		AsyncJsonAppender appender = new AsyncJsonAppender(System.out);
		appender.setContext(context);
		appender.setName("lines");
		appender.start();
		Logger root = context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
		root.setLevel(Level.WARN);
		root.addAppender(appender);
		context.getLogger("io.bulrushrouter").setLevel(Level.INFO);
		// Netty warns at startup that an instance has no hardware address.
		context.getLogger("io.netty.util.internal").setLevel(Level.ERROR);
		return new LogSetup(appender);
	}

	@Override
	public void close() {
		this.appender.stop();
	}

}
