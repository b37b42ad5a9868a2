"""Starts and drives processes of the system for tests, experiments and the quickstart."""
