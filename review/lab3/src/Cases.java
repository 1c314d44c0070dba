/**
 * Starts the driver of a case. The exit code is 1 if the rule was broken, 0 if it held and
 * 2 if the case couldn't run.
 */
final class Cases {

	private Cases() {
	}

	public static void main(String[] args) {
		try {
			String[] files = { args[1], args[2] };
			switch (args[0]) {
				case "foreign-entries" -> ForeignEntries.main(files);
				case "strange-entry" -> StrangeEntry.main(files);
				case "run-then-unavailable" -> RunThenUnavailable.main(files);
				case "raised-limit" -> RaisedLimit.main(files);
				case "written-with-a-point" -> WrittenWithAPoint.main(files);
				case "tenant-names" -> TenantNames.main(files);
				default -> throw new IllegalArgumentException("unknown case " + args[0]);
			}
		}
		catch (Exception ex) {
			System.out.println("the case couldn't run: " + ex);
			System.exit(2);
		}
	}

}
