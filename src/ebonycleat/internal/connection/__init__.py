"""Connections and messages: HTTP, links between nodes, log service, CBOR."""
