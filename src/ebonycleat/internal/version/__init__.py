"""The configuration: log records, views and the operators' language."""
