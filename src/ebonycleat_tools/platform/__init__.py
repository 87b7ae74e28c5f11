"""An emulator of the users' platform: store, targets, operator.

It speaks the platform's names and formats, so that the whole path can be
played on loopback without the platform.
"""
