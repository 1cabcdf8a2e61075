"""Scenarios: scripted sessions over real processes, with their failures."""
