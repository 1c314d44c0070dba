import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** The record of a run: one line for each thing that was sent, answered or run. */
final class Record implements AutoCloseable {

	private final PrintWriter out;

	private final long startNanos = System.nanoTime();

	Record(Path file) throws IOException {
		this.out = new PrintWriter(Files.newBufferedWriter(file));
	}

	long millis() {
		return (System.nanoTime() - this.startNanos) / 1_000_000;
	}

	synchronized void line(String text) {
		this.out.printf("%8d ms  %s%n", millis(), text);
	}

	/** Writes a line of the result, which is shown too. */
	synchronized void result(String text) {
		line(text);
		System.out.println(text);
	}

	@Override
	public synchronized void close() {
		this.out.close();
	}

}
