"""Storage: turns and budgets kept on the disks of store hosts."""
