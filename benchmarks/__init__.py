"""Measurements, the demonstration and the fleet that they run on."""
