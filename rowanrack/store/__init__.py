"""Stores whose content survives a restart of the process."""
