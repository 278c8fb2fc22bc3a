"""Simulated machines: processes, disks, network links, frames and processor time."""
