"""Tell which tenant a caller belongs to, and what it may spend."""
