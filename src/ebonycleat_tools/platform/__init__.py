"""Emulates the platform that nodes run on: its store, targets and operator.

It uses the platform's names and message formats, so that whole nodes can be
tested on the loopback interface without the platform. The soak test uses it.
"""
