package io.bulrushrouter.daemon.node;

import java.net.URL;

import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.joran.JoranConfigurator;
import ch.qos.logback.core.joran.spi.JoranException;
import org.slf4j.LoggerFactory;

import io.bulrushrouter.kernel.BulrushException;
import io.bulrushrouter.kernel.ErrorCode;

/**
 * Configures the log format of the process.
 */
public final class LogSetup {

	private LogSetup() {
	}

	/**
	 * Configures logging in the given format.
	 * @param format {@code human}, {@code json} or {@code quiet}
	 * @throws BulrushException with {@link ErrorCode#BAD_SETTINGS} if the format does not
	 * exist
	 */
	public static void configure(String format) {
		URL file = LogSetup.class.getResource("/logback-" + format + ".xml");
		if (file == null) {
			throw new BulrushException(ErrorCode.BAD_SETTINGS, "no log format named " + format);
		}
		LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
		context.reset();
		JoranConfigurator configurator = new JoranConfigurator();
		configurator.setContext(context);
		try {
			configurator.doConfigure(file);
		}
		catch (JoranException ex) {
			throw new BulrushException(ErrorCode.INTERNAL, "cannot configure the log", ex);
		}
	}

}
