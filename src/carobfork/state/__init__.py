"""Programs, records, budgets and bundles, without any I/O."""
